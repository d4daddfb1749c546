/**
 * Decides what follows when an upstream has been silent for long. Silence alone ends no attempt, since a sound upstream
 * may be silent for a second or so. If the request may be retried it is also sent to another upstream, and the first of
 * the two that goes on has the request; otherwise the silent upstream is awaited until the deadline.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptResumed
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.SilentAttempt

internal const val SILENT_CAUSE = "silent"

internal class SilentAttemptSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is AttemptSilent -> handleSilence(table, message, tick.now)
                is AttemptResumed -> handleResumption(table, message, tick.now)
                else -> ForwardingStep(table)
            }
        }

    private fun handleSilence(tables: ForwardingTables, message: AttemptSilent, now: Timestamp): ForwardingStep {
        val request = tables.requests[message.number]
        val phase = (request?.phase as? AwaitingAnswer)?.takeIf { it.attempt == message.attempt }
        if (request == null || phase == null || request.silent != null) return ForwardingStep(tables)
        val healthStep = recordSilence(tables, request, phase, now)
        val canMove = message.isResumable && request.route.kind.isRetryable &&
            !tables.isSuspect(request) && tables.canRetry(request, now, settings)
        val silentPhase = phase.copy(wasSilent = true)
        val next = if (canMove) {
            val silent = SilentAttempt(silentPhase, message.silence)
            healthStep.tables.withWaiting(request.copy(phase = AwaitingUpstream, silent = silent))
        } else {
            val row = request.copy(phase = silentPhase)
            healthStep.tables.copy(requests = healthStep.tables.requests.put(request.number, row))
        }
        val decision = logDecision(
            DecisionKind.ATTEMPT_SILENT,
            request.head.callId,
            "upstream" to phase.upstream,
            "attempt" to phase.attempt,
            "after_ms" to now - phase.sentAt,
            "events" to if (request.isAnswerStarted) "some" else "none",
            "sent_elsewhere" to canMove,
        )
        return ForwardingStep(next, healthStep.effects + decision)
    }

    /** The first silence of an attempt counts as a failure of its upstream, so that new requests prefer others. */
    private fun recordSilence(
        tables: ForwardingTables,
        request: RequestRow,
        phase: AwaitingAnswer,
        now: Timestamp,
    ): ForwardingStep {
        if (phase.wasSilent) return ForwardingStep(tables)
        val isStarted = request.isAnswerStarted
        val result = AnswerLost(SILENT_CAUSE, request.deliveredEvents, isStarted, isResumable = false)
        return tables.recordResult(phase, result, now, settings)
    }

    private fun handleResumption(tables: ForwardingTables, message: AttemptResumed, now: Timestamp): ForwardingStep {
        val request = tables.requests[message.number]
        val phase = request?.silent?.phase ?: request?.phase as? AwaitingAnswer
        if (request == null || phase?.attempt != message.attempt) return ForwardingStep(tables)
        val decision = logDecision(
            DecisionKind.ATTEMPT_RESUMED,
            request.head.callId,
            "upstream" to phase.upstream,
            "attempt" to phase.attempt,
            "after_ms" to now - phase.sentAt,
        )
        val mayHaveRun = request.mayHaveRun || request.phase is AwaitingAnswer
        return ForwardingStep(tables.withSilentOnly(request.copy(mayHaveRun = mayHaveRun)), listOf(decision))
    }
}
