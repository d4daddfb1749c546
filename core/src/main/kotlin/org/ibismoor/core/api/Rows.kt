/**
 * An immutable list of rows that can be serialized.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

typealias Rows<T> =
    @Serializable(with = PersistentListSerializer::class)
    PersistentList<T>
