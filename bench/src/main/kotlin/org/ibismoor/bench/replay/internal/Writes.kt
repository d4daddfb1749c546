/**
 * Changes to the tables of a replay that several systems make.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.toPersistentList

internal fun ReplayTables.withEngine(engine: EngineRow): ReplayTables = copy(engines = engines.put(engine.id, engine))

internal fun EngineRow.withoutStream(stream: Long): EngineRow =
    copy(
        running = running.filter { it.stream != stream }.toPersistentList(),
        waiting = waiting.filter { it.stream != stream }.toPersistentList(),
    )

/** Records [count] tokens generated in one engine step; all but the first count as following without a gap. */
internal fun ReplayTables.recordTokens(stream: Long, count: Int, now: Long): ReplayTables {
    val row = requests[stream]?.takeIf { it.endedAt == null } ?: return this
    val gap = row.lastTokenAt?.let { listOf(now - it) }.orEmpty()
    val updated = row.copy(
        firstTokenAt = row.firstTokenAt ?: now,
        lastTokenAt = now,
        gaps = row.gaps.addAll(gap + List(count - 1) { 0L }),
    )
    return copy(requests = requests.put(stream, updated))
}

/** Ends the request for its caller. A refusal before a token is false if a reachable engine had a free place. */
internal fun ReplayTables.endRequest(stream: Long, isAnswered: Boolean, now: Long): ReplayTables {
    val row = requests[stream]?.takeIf { it.endedAt == null } ?: return this
    val hasRoom = engines.values.any {
        it.isUp && it.domain !in lostDomains && it.running.size + it.waiting.size < it.declaration.batch
    }
    val isRefused = !isAnswered && row.firstTokenAt == null
    val finished = row.copy(endedAt = now, isAnswered = isAnswered, isFalseRefusal = isRefused && hasRoom)
    return copy(requests = requests.put(stream, finished), unfinished = unfinished - 1)
}
