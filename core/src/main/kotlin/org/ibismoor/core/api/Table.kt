/**
 * A table of entities: a serializable immutable map from identifier to row.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

typealias Table<K, V> =
    @Serializable(with = PersistentMapSerializer::class)
    PersistentMap<K, V>
