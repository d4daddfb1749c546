/**
 * The memory that one connection holds.
 */
package org.ibismoor.memory.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ibismoor.core.api.Timestamp

data class HolderRow(
    val id: HolderId,
    /** Bytes by class; a class without bytes has no entry. */
    val held: PersistentMap<MemoryClass, Long> = persistentMapOf(),
    /** When the connection last received or wrote enough bytes to count as progress. */
    val progressAt: Timestamp,
    val bytesSinceProgress: Long = 0,
    /** True while the process itself works on the request, so that no progress of the caller is expected. */
    val isServed: Boolean = false,
) {
    val totalBytes: Long get() = held.values.sum()

    fun bytes(memoryClass: MemoryClass): Long = held[memoryClass] ?: 0

    /** True if the connection can lose what it holds to one that goes on. */
    val canStall: Boolean get() = held.isNotEmpty() && (!isServed || bytes(MemoryClass.ANSWERS) > 0)
}
