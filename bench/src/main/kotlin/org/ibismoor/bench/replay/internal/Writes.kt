/**
 * Writes to the tables of a replay that several systems share.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.toPersistentList

internal fun ReplayTables.with(engine: EngineRow): ReplayTables = copy(engines = engines.put(engine.id, engine))

internal fun EngineRow.without(stream: Long): EngineRow =
    copy(
        running = running.filter { it.stream != stream }.toPersistentList(),
        waiting = waiting.filter { it.stream != stream }.toPersistentList(),
    )

/** [count] tokens came out in one step; all but the first follow without a gap. */
internal fun ReplayTables.tokensSeen(stream: Long, count: Int, now: Long): ReplayTables {
    val row = requests[stream]?.takeIf { it.endedAt == null } ?: return this
    val gap = row.lastTokenAt?.let { listOf(now - it) }.orEmpty()
    val seen = row.copy(
        firstTokenAt = row.firstTokenAt ?: now,
        lastTokenAt = now,
        gaps = row.gaps.addAll(gap + List(count - 1) { 0L }),
    )
    return copy(requests = requests.put(stream, seen))
}

/** The request ended for its caller. */
internal fun ReplayTables.ended(stream: Long, isAnswered: Boolean, now: Long): ReplayTables {
    val row = requests[stream]?.takeIf { it.endedAt == null } ?: return this
    val hasRoom = engines.values.any {
        it.isUp && it.domain !in lost && it.running.size + it.waiting.size < it.declaration.batch
    }
    val isRefused = !isAnswered && row.firstTokenAt == null
    val done = row.copy(endedAt = now, isAnswered = isAnswered, isFalseRefusal = isRefused && hasRoom)
    return copy(requests = requests.put(stream, done), unfinished = unfinished - 1)
}
