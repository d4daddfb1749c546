/**
 * Changes of the table of holders that keep its sums.
 */
package org.ibismoor.memory.internal

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.Timestamp
import org.ibismoor.memory.api.HolderId
import org.ibismoor.memory.api.HolderRow
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.memory.api.MemoryTables

internal fun MemoryTables.rowOf(id: HolderId, now: Timestamp): HolderRow =
    holders[id] ?: HolderRow(id, progressAt = now)

/** Adds [bytes], which may be negative, to what [row] holds. A holder never holds less than nothing. */
internal fun MemoryTables.withBytes(row: HolderRow, memoryClass: MemoryClass, bytes: Long): MemoryTables {
    val change = bytes.coerceAtLeast(-row.bytes(memoryClass))
    val changed = row.copy(held = row.held.adding(memoryClass, change))
    return copy(
        holders = if (changed.held.isEmpty()) holders.remove(row.id) else holders.put(row.id, changed),
        held = held.adding(memoryClass, change),
    )
}

internal fun MemoryTables.withoutHolder(row: HolderRow): MemoryTables =
    copy(
        holders = holders.remove(row.id),
        held = row.held.entries.fold(held) { sums, (memoryClass, bytes) -> sums.adding(memoryClass, -bytes) },
    )

private fun PersistentMap<MemoryClass, Long>.adding(
    memoryClass: MemoryClass,
    bytes: Long,
): PersistentMap<MemoryClass, Long> {
    val sum = (this[memoryClass] ?: 0) + bytes
    return if (sum == 0L) remove(memoryClass) else put(memoryClass, sum)
}
