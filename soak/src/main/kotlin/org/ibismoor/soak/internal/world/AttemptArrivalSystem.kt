/**
 * Attempts as they reach the upstreams. Each takes a slot from its arrival to its end; without a free one it is refused
 * as not run.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.platform.api.UpstreamAnswerFields
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.internal.ENGINE_GROUP
import org.ibismoor.soak.internal.MISDIRECTED_REQUEST
import org.ibismoor.soak.internal.SERVICE_UNAVAILABLE
import org.ibismoor.soak.internal.schedule.UpstreamTrouble

private const val SERVICE_SLOTS = 8
internal const val ENGINE_SLOTS = 16
private const val SERVICE_MILLIS = 10L
private const val SERVICE_SPREAD_MILLIS = 50L

internal val UpstreamRow.slots: Int get() = if (slot.group == ENGINE_GROUP) ENGINE_SLOTS else SERVICE_SLOTS

internal class AttemptArrivalSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            when (message) {
                is SoakStarted -> Step(current, current.upstreams.keys.map(::OpenUpstream))
                is AttemptArrived -> receive(current, message, tick.now)
                else -> Step(current)
            }
        }

    private fun receive(tables: SoakTables, arrival: AttemptArrived, now: Timestamp): SoakStep {
        val row = tables.upstreams.getValue(arrival.slot)
        val observed = Step(tables, listOf(Observe(receivedAt(arrival, row, now))))
        val expected = arrival.fields.expectedUpstream
        return observed.then {
            when {
                !row.isRunning -> dropAttempt(it, arrival, now)
                expected != null && expected != row.id.text -> refuse(it, arrival, MISDIRECTED_REQUEST, now)
                row.active.size >= row.slots -> refuse(it, arrival, SERVICE_UNAVAILABLE, now)
                isCrashing(it, arrival) ->
                    dropAttempt(it, arrival, now).then { lost -> crash(lost, row, CRASHING_PART, now) }
                else -> begin(it, arrival, row, now)
            }
        }
    }

    private fun receivedAt(arrival: AttemptArrived, row: UpstreamRow, now: Timestamp) =
        AttemptReceived(
            at = now,
            attempt = arrival.attempt,
            request = SoakRequestId(arrival.fields.callId),
            upstream = row.id,
            service = row.slot.group.text,
            promptParts = arrival.fields.prompt?.parts?.map { it.id }.orEmpty(),
            organisation = arrival.fields.organisation?.let(::OrganisationId),
        )

    /** While one upstream has the trouble, all engines crash on the part. */
    private fun isCrashing(tables: SoakTables, arrival: AttemptArrived): Boolean =
        arrival.fields.prompt?.parts.orEmpty().any { it.id == CRASHING_PART } &&
            tables.upstreams.values.any { it.hasTrouble(UpstreamTrouble.CRASH_ON_PART) }

    private fun dropAttempt(tables: SoakTables, arrival: AttemptArrived, now: Timestamp): SoakStep {
        val finished = AttemptFinished(now, arrival.attempt, made = null)
        return Step(tables, listOf(WriteAttempt(arrival.attempt, CloseConnection), Observe(finished)))
    }

    private fun refuse(tables: SoakTables, arrival: AttemptArrived, status: Int, now: Timestamp): SoakStep {
        val fields = UpstreamAnswerFields(arrival.fields.callId, mark = null, isNotExecuted = true)
        return Step(
            tables,
            listOf(
                WriteAttempt(arrival.attempt, PlainAnswer(status, fields, "not run")),
                Observe(AttemptFinished(now, arrival.attempt, made = null, refusedWith = status)),
            ),
        )
    }

    private fun begin(tables: SoakTables, arrival: AttemptArrived, row: UpstreamRow, now: Timestamp): SoakStep {
        val next = (arrival.fields.lastEventId ?: 0) + 1
        val attempt = AttemptRow(arrival.attempt, arrival.slot, arrival.fields.callId, arrival.fields.prompt, next)
        val started = tables.copy(attempts = tables.attempts.put(attempt.id, attempt))
            .withUpstream(row.copy(active = row.active.add(attempt.id)))
        val delay = if (attempt.isStream) EVENT_INTERVAL_MILLIS else serviceMillis(tables, attempt)
        val isHeadWritten = attempt.isStream || row.isEndingEarly
        val head = WriteAttempt(attempt.id, StreamHead(answerFields(attempt)))
        return Step(
            started.at(now + delay, AttemptDue(attempt.id)),
            listOf<SoakEffect>(Observe(AttemptBegan(now, attempt.id))) + listOf(head).filter { isHeadWritten },
        )
    }

    private val UpstreamRow.isEndingEarly: Boolean
        get() = hasTrouble(UpstreamTrouble.BREAK_OFF) || hasTrouble(UpstreamTrouble.ENDLESS_ANSWERS)

    private fun serviceMillis(tables: SoakTables, attempt: AttemptRow): Long =
        SERVICE_MILLIS + tables.draw(SERVICE_SPREAD_MILLIS, "service", attempt.callId)
}
