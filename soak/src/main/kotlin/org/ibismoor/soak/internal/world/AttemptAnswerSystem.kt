/**
 * Answers of the upstreams: services answer as a whole, engines as streams, and those in trouble break off.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.SoakAttemptId
import org.ibismoor.soak.internal.OK
import org.ibismoor.soak.internal.schedule.UpstreamTrouble

/** Time between events of a stream. */
internal const val EVENT_INTERVAL_MILLIS = 20L
private const val ENDLESS_PARTS = 500L
private const val ENDLESS_PART_BYTES = 16 * 1024
private const val BROKEN_EVENT = 2L

internal class AttemptAnswerSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            when (message) {
                is AttemptAbandoned ->
                    endAttempt(current, message.attempt, AttemptFinished(tick.now, message.attempt, null))
                is WorkDue -> continueWork(current, message.work, tick.now)
                else -> Step(current)
            }
        }

    private fun continueWork(tables: SoakTables, work: DueWork, now: Timestamp): SoakStep =
        when (work) {
            is AttemptDue -> tables.attempts[work.attempt]?.let { answer(tables, it, now) } ?: Step(tables)
            is UpstreamRestartDue -> restart(tables, work.slot, now)
            else -> Step(tables)
        }

    private fun answer(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakStep {
        val row = tables.upstreams.getValue(attempt.slot)
        val isLast = !attempt.isStream || attempt.nextEvent > eventCount(attempt.callId)
        return when {
            row.hasTrouble(UpstreamTrouble.ENDLESS_ANSWERS) -> writeEndless(tables, attempt, now)
            row.hasTrouble(UpstreamTrouble.BREAK_OFF) -> breakOff(tables, attempt, now)
            row.hasTrouble(UpstreamTrouble.LOSE_ANSWERS) && isLast -> lose(tables, attempt, now)
            !isLast -> writeEvent(tables, attempt, now)
            attempt.isStream -> finish(tables, attempt, StreamEnd, now)
            else -> finish(tables, attempt, plainAnswer(attempt, row), now)
        }
    }

    private fun plainAnswer(attempt: AttemptRow, row: UpstreamRow): PlainAnswer {
        val copies = if (row.hasTrouble(UpstreamTrouble.REPEAT_ANSWERS)) 2 else 1
        return PlainAnswer(OK, answerFields(attempt), bodyOf(attempt), copies)
    }

    private fun writeEvent(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakStep {
        val part = StreamPart(eventText(attempt.callId, attempt.nextEvent))
        return Step(withNextEvent(tables, attempt, now), listOf(WriteAttempt(attempt.id, part)))
    }

    private fun withNextEvent(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakTables =
        tables.copy(attempts = tables.attempts.put(attempt.id, attempt.copy(nextEvent = attempt.nextEvent + 1)))
            .at(now + EVENT_INTERVAL_MILLIS, AttemptDue(attempt.id))

    private fun writeEndless(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakStep {
        if (attempt.nextEvent > ENDLESS_PARTS) return lose(tables, attempt, now)
        val part = StreamPart("x".repeat(ENDLESS_PART_BYTES))
        return Step(withNextEvent(tables, attempt, now), listOf(WriteAttempt(attempt.id, part)))
    }

    private fun breakOff(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakStep {
        if (attempt.isStream && attempt.nextEvent < BROKEN_EVENT) return writeEvent(tables, attempt, now)
        val whole = if (attempt.isStream) eventText(attempt.callId, attempt.nextEvent) else bodyOf(attempt)
        val half = WriteAttempt(attempt.id, StreamPart(whole.take(whole.length / 2)))
        return Step(tables, listOf(half)).then { lose(it, attempt, now) }
    }

    private fun lose(tables: SoakTables, attempt: AttemptRow, now: Timestamp): SoakStep =
        Step(tables, listOf(WriteAttempt(attempt.id, CloseConnection)))
            .then { endAttempt(it, attempt.id, AttemptFinished(now, attempt.id, null)) }

    private fun finish(tables: SoakTables, attempt: AttemptRow, output: UpstreamOutput, now: Timestamp): SoakStep =
        Step(tables, listOf(WriteAttempt(attempt.id, output)))
            .then { endAttempt(it, attempt.id, AttemptFinished(now, attempt.id, madeAnswer(attempt))) }
}

internal fun SoakTables.withUpstream(row: UpstreamRow): SoakTables =
    copy(upstreams = upstreams.put(row.slot.slot, row))

/** Frees the slot of an attempt, unless it has ended before. */
internal fun endAttempt(tables: SoakTables, attempt: SoakAttemptId, finished: AttemptFinished): SoakStep {
    val row = tables.attempts[attempt] ?: return Step(tables)
    val upstream = tables.upstreams.getValue(row.slot)
    val freed = tables.copy(attempts = tables.attempts.remove(attempt))
        .withUpstream(upstream.copy(active = upstream.active.remove(attempt)))
    return Step(freed, listOf(Observe(finished)))
}
