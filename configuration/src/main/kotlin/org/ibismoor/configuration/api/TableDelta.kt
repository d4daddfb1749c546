/**
 * Changed and removed rows of one table.
 */
package org.ibismoor.configuration.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.serialization.Serializable

@Serializable
data class TableDelta<K, V>(val changed: Map<K, V> = emptyMap(), val removed: List<K> = emptyList()) {
    fun applyTo(table: PersistentMap<K, V>): PersistentMap<K, V> =
        table.mutate { rows ->
            rows.putAll(changed)
            removed.forEach(rows::remove)
        }

    companion object {
        fun <K, V> between(before: Map<K, V>, after: Map<K, V>): TableDelta<K, V> =
            TableDelta(after.filter { (k, v) -> before[k] != v }, before.keys.filter { it !in after })
    }
}
