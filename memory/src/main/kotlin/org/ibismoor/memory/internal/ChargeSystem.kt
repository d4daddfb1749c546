/**
 * Charges what connections hold to the budget. When it is used up, connections without progress lose what they hold,
 * the longest one first; if that is not enough, the charge is refused.
 */
package org.ibismoor.memory.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.memory.api.BytesMoved
import org.ibismoor.memory.api.BytesReleased
import org.ibismoor.memory.api.BytesRequested
import org.ibismoor.memory.api.EvictHolder
import org.ibismoor.memory.api.GrantBytes
import org.ibismoor.memory.api.HolderEnded
import org.ibismoor.memory.api.HolderRow
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.memory.api.MemoryEffect
import org.ibismoor.memory.api.MemoryMessage
import org.ibismoor.memory.api.MemoryTables
import org.ibismoor.memory.api.RefuseBytes
import org.ibismoor.memory.api.RequestServed

internal class ChargeSystem : TickSystem<MemoryTables, MemoryMessage, MemoryEffect> {
    override fun run(tables: MemoryTables, tick: Tick<MemoryMessage>): Step<MemoryTables, MemoryEffect> {
        val start: Step<MemoryTables, MemoryEffect> = Step(tables)
        return tick.messages.fold(start) { step, message ->
            val next = handle(step.tables, message, tick.now)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun handle(tables: MemoryTables, message: MemoryMessage, now: Timestamp): Step<MemoryTables, MemoryEffect> {
        val row = tables.holders[message.holder]
        return when {
            message is BytesRequested -> charge(tables, message, now)
            row == null -> Step(tables)
            else -> Step(update(tables, row, message, now))
        }
    }

    private fun update(tables: MemoryTables, row: HolderRow, message: MemoryMessage, now: Timestamp): MemoryTables =
        when (message) {
            is BytesReleased -> tables.withBytes(row, message.memoryClass, -message.bytes)
            is BytesMoved -> tables.withRow(moved(row, message.bytes, tables.settings.progressBytes, now))
            is RequestServed -> tables.withRow(row.copy(isServed = true, progressAt = now, bytesSinceProgress = 0))
            is HolderEnded -> tables.withoutHolder(row)
            is BytesRequested -> tables
        }

    private fun moved(row: HolderRow, bytes: Long, progressBytes: Long, now: Timestamp): HolderRow {
        val sum = row.bytesSinceProgress + bytes
        return if (sum >= progressBytes) {
            row.copy(progressAt = now, bytesSinceProgress = 0)
        } else {
            row.copy(bytesSinceProgress = sum)
        }
    }

    private fun MemoryTables.withRow(row: HolderRow): MemoryTables = copy(holders = holders.put(row.id, row))

    private fun charge(
        tables: MemoryTables,
        request: BytesRequested,
        now: Timestamp,
    ): Step<MemoryTables, MemoryEffect> {
        val row = tables.rowOf(request.holder, now)
        val cleared = if (tables.hasRoom(row, request)) Step(tables) else evict(tables, row, request, now)
        val isGranted = cleared.tables.hasRoom(row, request)
        val decision = with(request) {
            if (isGranted) GrantBytes(holder, memoryClass, bytes) else RefuseBytes(holder, memoryClass, bytes)
        }
        val charged =
            if (isGranted) cleared.tables.withBytes(row, request.memoryClass, request.bytes) else cleared.tables
        return Step(charged, cleared.effects + decision)
    }

    private fun MemoryTables.hasRoom(row: HolderRow, request: BytesRequested): Boolean {
        val isSmall = row.bytes(MemoryClass.BODIES) + request.bytes <= settings.smallBodyBytes
        val canUseReserve = request.memoryClass != MemoryClass.BODIES || isSmall
        val limit = if (canUseReserve) settings.totalBytes else settings.totalBytes - settings.reservedBytes
        val hasClassRoom = request.memoryClass != MemoryClass.ANSWERS ||
            bytes(MemoryClass.ANSWERS) + request.bytes <= settings.answerBytes
        return hasClassRoom && totalBytes + request.bytes <= limit
    }

    private fun evict(
        tables: MemoryTables,
        row: HolderRow,
        request: BytesRequested,
        now: Timestamp,
    ): Step<MemoryTables, MemoryEffect> {
        if (now < tables.nextStallAt) return Step(tables)
        val stallMillis = tables.settings.stallMillis
        val candidates = tables.holders.values.filter { it.canStall && it.id != row.id }.sortedBy { it.progressAt }
        var cleared = tables
        val evicted = candidates.takeWhile { candidate ->
            val isNext = now - candidate.progressAt >= stallMillis && !cleared.hasRoom(row, request)
            if (isNext) cleared = cleared.withoutHolder(candidate)
            isNext
        }
        val oldest = candidates.getOrNull(evicted.size)?.progressAt ?: now
        return Step(cleared.copy(nextStallAt = oldest + stallMillis), evicted.map { EvictHolder(it.id) })
    }
}
