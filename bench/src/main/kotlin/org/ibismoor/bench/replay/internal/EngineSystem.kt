/**
 * Simulates the engines: each divides its tokens per second between the sequences of its batch, admits waiting
 * sequences by priority, and keeps a bounded cache of prompt prefixes.
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

private const val REPORT_INTERVAL_MILLIS = 1_000L
private const val REPORT_LAG_MILLIS = 500L
private const val MILLIS_PER_SECOND = 1_000.0
private const val PERCENT = 100.0

// Prompt tokens are computed in parallel, so one costs about a tenth of a generated token.
private const val PREFILL_COST = 0.1

// Fraction of a prompt that its prefix covers.
private const val PREFIX_FRACTION = 0.75

internal class EngineSystem(private val network: Network) : TickSystem<ReplayTables, TraceLine, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<TraceLine>): Step<ReplayTables, Nothing> {
        val now = tick.now.millis
        val arrived = tables.engineMessages[now].orEmpty().fold(tables) { t, message -> acceptMessage(t, message, now) }
        val received = arrived.copy(engineMessages = arrived.engineMessages.remove(now))
        val stepped = if (now % ENGINE_STEP_MILLIS == 0L) stepEngines(received, now) else received
        return Step(if (now % REPORT_INTERVAL_MILLIS == 0L) sendReports(stepped, now) else stepped)
    }

    private fun acceptMessage(tables: ReplayTables, message: EngineMessageDue, now: Long): ReplayTables {
        val engine = tables.engines.getValue(message.engine)
        val sequence = message.sequence
        return when {
            sequence == null -> tables.withEngine(engine.withoutStream(message.stream))
            !engine.isUp ->
                notifyRouter(tables, engine, sequence, now) { failureOf(engine, it, AttemptFailure.NO_ANSWER) }
            engine.waiting.size >= engine.declaration.batch ->
                notifyRouter(tables, engine, sequence, now) { failureOf(engine, it, AttemptFailure.REFUSED) }
            else -> tables.withEngine(engine.copy(waiting = engine.waiting.add(sequence)))
        }
    }

    private fun failureOf(engine: EngineRow, sequence: Sequence, failure: AttemptFailure): RoutingMessage =
        AttemptFailed(StreamId(sequence.stream), engine.id, failure)

    private fun notifyRouter(
        tables: ReplayTables,
        engine: EngineRow,
        sequence: Sequence,
        now: Long,
        message: (Sequence) -> RoutingMessage,
    ): ReplayTables {
        val at = now + network.delay(engine.domain, sequence.router)
        return tables.schedule(at, RouterMessageDue(sequence.router, message(sequence)))
    }

    private fun stepEngines(tables: ReplayTables, now: Long): ReplayTables =
        tables.engines.values.filter { it.isUp && (it.running.isNotEmpty() || it.waiting.isNotEmpty()) }
            .sortedBy { it.declaration.id }
            .fold(tables) { t, engine -> stepEngine(t, engine, now) }

    private fun stepEngine(tables: ReplayTables, engine: EngineRow, now: Long): ReplayTables {
        val admitted = admitWaiting(tables, engine)
        val filled = admitted.engines.getValue(engine.id)
        val speed = engine.declaration.tokensPerSecond * engine.speedPercent / PERCENT
        val share = speed * ENGINE_STEP_MILLIS / MILLIS_PER_SECOND / filled.running.size
        val advanced = filled.running.map { it.withProgress(share) }
        val unfinished = advanced.filter { it.generated < it.answerTokens }.toPersistentList()
        val next = admitted.withEngine(filled.copy(running = unfinished))
        return filled.running.zip(advanced).fold(next) { t, (old, new) -> applyTokens(t, filled, old, new, now) }
    }

    private tailrec fun admitWaiting(tables: ReplayTables, engine: EngineRow): ReplayTables {
        val next = engine.waiting.minByOrNull { it.priority }
        if (next == null || engine.running.size >= engine.declaration.batch) return tables.withEngine(engine)
        val isHit = next.prefix in engine.cache
        val computed = if (isHit) next.promptTokens * (1 - PREFIX_FRACTION) else next.promptTokens.toDouble()
        val admitted = engine.copy(
            waiting = engine.waiting.remove(next),
            running = engine.running.add(next.copy(prefill = computed * PREFILL_COST)),
            cache = cacheWith(engine, next.prefix),
        )
        val counted = tables.copy(admitted = tables.admitted + 1, cacheHits = tables.cacheHits + if (isHit) 1 else 0)
        return admitWaiting(counted, admitted)
    }

    private fun cacheWith(engine: EngineRow, prefix: Long): PersistentList<Long> =
        (engine.cache.remove(prefix).add(prefix)).takeLast(engine.declaration.cachePrefixes).toPersistentList()

    private fun applyTokens(t: ReplayTables, engine: EngineRow, old: Sequence, new: Sequence, now: Long): ReplayTables {
        if (new.generated == old.generated) return t
        val recorded = t.recordTokens(new.stream, new.generated - old.generated, now)
        val id = StreamId(new.stream)
        val started = if (old.generated > 0) {
            recorded
        } else {
            notifyRouter(recorded, engine, new, now) { AnswerStarted(id, engine.id) }
        }
        val cost = (new.promptTokens + new.answerTokens).toLong()
        return if (new.generated < new.answerTokens) {
            started
        } else {
            notifyRouter(started, engine, new, now) { AnswerCompleted(id, engine.id, cost, OK_STATUS) }
        }
    }

    private fun sendReports(tables: ReplayTables, now: Long): ReplayTables {
        val reports = tables.engines.values.filter { it.isUp }.sortedBy { it.declaration.id }.map {
            UpstreamReport(it.id, it.running.size, it.waiting.size, false, "${it.starts}", REPORT_LAG_MILLIS)
        }
        return tables.routers.keys.fold(tables) { t, router ->
            t.schedule(now + REPORT_LAG_MILLIS, RouterMessageDue(router, ReportsReceived(reports)))
        }
    }
}

private fun Sequence.withProgress(share: Double): Sequence {
    val computed = minOf(prefill, share)
    val total = credit + share - computed
    val tokens = minOf(total.toInt(), answerTokens - generated)
    return copy(prefill = prefill - computed, credit = total - tokens, generated = generated + tokens)
}
