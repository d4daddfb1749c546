/**
 * Runs the engines: each shares its tokens per second between the sequences of its batch, admits waiting sequences by
 * priority, and keeps a bounded cache of prompt prefixes.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.AnswerStarted
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.StreamId

/** Time between steps of an engine. */
internal const val ENGINE_STEP_MILLIS = 5L

internal const val OK_STATUS = 200

private const val REPORT_MILLIS = 1_000L
private const val REPORT_LAG_MILLIS = 500L
private const val MILLIS = 1_000.0
private const val PERCENT = 100.0

// Prompt tokens are computed together, so that one costs about a tenth of a generated token.
private const val PREFILL_COST = 0.1

// Part of a prompt that its prefix covers.
private const val PREFIX_PART = 0.75

internal class EngineSystem(private val network: Network) : TickSystem<ReplayTables, TraceLine, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<TraceLine>): Step<ReplayTables, Nothing> {
        val now = tick.now.millis
        val arrived = tables.toEngines[now].orEmpty().fold(tables) { t, message -> accept(t, message, now) }
        val received = arrived.copy(toEngines = arrived.toEngines.remove(now))
        val stepped = if (now % ENGINE_STEP_MILLIS == 0L) stepAll(received, now) else received
        return Step(if (now % REPORT_MILLIS == 0L) report(stepped, now) else stepped)
    }

    private fun accept(tables: ReplayTables, message: ToEngine, now: Long): ReplayTables {
        val engine = tables.engines.getValue(message.engine)
        val sequence = message.sequence
        return when {
            sequence == null -> tables.with(engine.without(message.stream))
            !engine.isUp -> answer(tables, engine, sequence, now) { failed(engine, it, AttemptFailure.NO_ANSWER) }
            engine.waiting.size >= engine.declaration.batch ->
                answer(tables, engine, sequence, now) { failed(engine, it, AttemptFailure.REFUSED) }
            else -> tables.with(engine.copy(waiting = engine.waiting.add(sequence)))
        }
    }

    private fun failed(engine: EngineRow, sequence: Sequence, failure: AttemptFailure): RoutingMessage =
        AttemptFailed(StreamId(sequence.stream), engine.id, failure)

    private fun answer(
        tables: ReplayTables,
        engine: EngineRow,
        sequence: Sequence,
        now: Long,
        message: (Sequence) -> RoutingMessage,
    ): ReplayTables {
        val at = now + network.delay(engine.domain, sequence.router)
        return tables.sent(at, ToRouter(sequence.router, message(sequence)))
    }

    private fun stepAll(tables: ReplayTables, now: Long): ReplayTables =
        tables.engines.values.filter { it.isUp && (it.running.isNotEmpty() || it.waiting.isNotEmpty()) }
            .sortedBy { it.declaration.id }
            .fold(tables) { t, engine -> step(t, engine, now) }

    private fun step(tables: ReplayTables, engine: EngineRow, now: Long): ReplayTables {
        val admitted = admit(tables, engine)
        val filled = admitted.engines.getValue(engine.id)
        val speed = engine.declaration.tokensPerSecond * engine.percent / PERCENT
        val share = speed * ENGINE_STEP_MILLIS / MILLIS / filled.running.size
        val advanced = filled.running.map { it.advanced(share) }
        val left = advanced.filter { it.generated < it.answerTokens }.toPersistentList()
        val next = admitted.with(filled.copy(running = left))
        return filled.running.zip(advanced).fold(next) { t, (old, new) -> progress(t, filled, old, new, now) }
    }

    private tailrec fun admit(tables: ReplayTables, engine: EngineRow): ReplayTables {
        val next = engine.waiting.minByOrNull { it.priority }
        if (next == null || engine.running.size >= engine.declaration.batch) return tables.with(engine)
        val isHit = next.prefix in engine.cache
        val computed = if (isHit) next.promptTokens * (1 - PREFIX_PART) else next.promptTokens.toDouble()
        val admitted = engine.copy(
            waiting = engine.waiting.remove(next),
            running = engine.running.add(next.copy(prefill = computed * PREFILL_COST)),
            cache = cached(engine, next.prefix),
        )
        val counted = tables.copy(admitted = tables.admitted + 1, hits = tables.hits + if (isHit) 1 else 0)
        return admit(counted, admitted)
    }

    private fun cached(engine: EngineRow, prefix: Long): PersistentList<Long> =
        (engine.cache.remove(prefix).add(prefix)).takeLast(engine.declaration.cachePrefixes).toPersistentList()

    private fun progress(t: ReplayTables, engine: EngineRow, old: Sequence, new: Sequence, now: Long): ReplayTables {
        if (new.generated == old.generated) return t
        val seen = t.tokensSeen(new.stream, new.generated - old.generated, now)
        val id = StreamId(new.stream)
        val started = if (old.generated > 0) {
            seen
        } else {
            answer(seen, engine, new, now) { AnswerStarted(id, engine.id) }
        }
        val cost = (new.promptTokens + new.answerTokens).toLong()
        return if (new.generated < new.answerTokens) {
            started
        } else {
            answer(started, engine, new, now) { AnswerCompleted(id, engine.id, cost, OK_STATUS) }
        }
    }

    private fun report(tables: ReplayTables, now: Long): ReplayTables {
        val reports = tables.engines.values.filter { it.isUp }.sortedBy { it.declaration.id }.map {
            UpstreamReport(it.id, it.running.size, it.waiting.size, false, "${it.starts}", REPORT_LAG_MILLIS)
        }
        return tables.routers.keys.fold(tables) { t, router ->
            t.sent(now + REPORT_LAG_MILLIS, ToRouter(router, ReportsReceived(reports)))
        }
    }
}

private fun Sequence.advanced(share: Double): Sequence {
    val computed = minOf(prefill, share)
    val total = credit + share - computed
    val tokens = minOf(total.toInt(), answerTokens - generated)
    return copy(prefill = prefill - computed, credit = total - tokens, generated = generated + tokens)
}
