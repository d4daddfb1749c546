/**
 * A table of entities: an immutable map from identifier to row that can be serialized.
 */
package org.ibismoor.core.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

typealias Table<K, V> =
    @Serializable(with = PersistentMapSerializer::class)
    PersistentMap<K, V>
