/**
 * A serializable immutable list of rows.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable

typealias Rows<T> =
    @Serializable(with = PersistentListSerializer::class)
    PersistentList<T>
