/**
 * The memory that a process holds for its connections. A connection without memory has no row.
 */
package org.ibismoor.memory.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import org.ibismoor.core.api.Timestamp

data class MemoryTables(
    val settings: MemorySettings,
    val holders: PersistentMap<HolderId, HolderRow> = persistentHashMapOf(),
    /** Sum over [holders] by class. */
    val held: PersistentMap<MemoryClass, Long> = persistentMapOf(),
    /** No holder can have been without progress for long enough before this time, so none is looked for. */
    val nextStallAt: Timestamp = Timestamp(0),
) {
    val totalBytes: Long get() = held.values.sum()

    fun bytes(memoryClass: MemoryClass): Long = held[memoryClass] ?: 0
}
