/**
 * Decides what follows the end of an attempt: the answer, another attempt or a refusal. A request that is not retryable
 * goes to a second upstream only if it is certain that the first one did not run it.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.CancelAttempt
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardFailure
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestRow

/** From this status on the failure is the upstream's, and another upstream may succeed. */
private const val FIRST_SERVER_ERROR = 500

@Suppress("TooManyFunctions") // one function for each result of an attempt
internal class AttemptSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is AttemptEnded -> endAttempt(table, message, tick.now)
                is FirstEventArrived ->
                    table.withPaceOfFirstEvent(message, settings, tick.now)
                        .then { ForwardingStep(recordFirstEvent(it, message, tick.now)) }
                is CallerDisconnected -> cancelRequest(table, message)
                else -> ForwardingStep(table)
            }
        }

    private fun recordFirstEvent(
        tables: ForwardingTables,
        message: FirstEventArrived,
        now: Timestamp,
    ): ForwardingTables {
        val request = tables.requests[message.number]
        val phase = request?.phase as? AwaitingAnswer
        if (request == null || phase == null || phase.attempt != message.attempt) return tables
        val startedRequest = request.copy(
            phase = phase.copy(pendingPromptTokens = 0),
            mayHaveRun = true,
            isAnswerStarted = true,
            streamVersion = request.streamVersion ?: phase.version,
            firstEventAt = request.firstEventAt ?: now,
        )
        return tables
            .withUpdatedUpstream(phase) {
                it.copy(
                    pendingPromptTokens = (it.pendingPromptTokens - phase.pendingPromptTokens).coerceAtLeast(0),
                )
            }
            .withReportedLoad(phase, message.load, now)
            .withOrigin(request.ownStream, originOf(request, phase), request.isSplit, now)
            .let { it.copy(requests = it.requests.put(request.number, startedRequest)) }
    }

    private fun endAttempt(tables: ForwardingTables, message: AttemptEnded, now: Timestamp): ForwardingStep {
        val request = tables.requests[message.number] ?: return ForwardingStep(tables)
        val phase = request.phase as? AwaitingAnswer
        return when {
            request.silent?.phase?.attempt == message.attempt ->
                endSilentAttempt(tables, request, message.result, now)
            phase == null || phase.attempt != message.attempt -> ForwardingStep(tables)
            else -> applyResult(tables, request, phase, message.result, now)
        }
    }

    private fun applyResult(
        tables: ForwardingTables,
        request: RequestRow,
        phase: AwaitingAnswer,
        result: AttemptResult,
        now: Timestamp,
    ): ForwardingStep {
        val healthStep = tables.recordResult(phase, result, now, settings)
        return when {
            result is Delivered -> completeRequest(healthStep.tables, request, result, now)
            request.silent != null -> ForwardingStep(healthStep.tables.withSilentOnly(request.afterResult(result)))
            result is AnsweredFailure -> handleFailureAnswer(healthStep.tables, request, phase, result, now)
            result is AnswerLost -> handleLostAnswer(healthStep.tables, request, result, now)
            else -> retryOrRefuse(healthStep.tables, request, result, now)
        }.let { step ->
            val failureDecisions = listOf(attemptFailure(request, phase, result, now)).filter { result !is Delivered }
            ForwardingStep(step.tables, healthStep.effects + failureDecisions + step.effects)
        }
    }

    private fun completeRequest(
        tables: ForwardingTables,
        request: RequestRow,
        result: Delivered,
        now: Timestamp,
    ): ForwardingStep {
        val cost = tables.costOf(request.copy(mayHaveRun = true), result.events)
        val phase = request.phase as? AwaitingAnswer
        val measured = phase?.let {
            tables.withUpdatedUpstream(it) { row -> row.withMeasuredGap(request, result, now) }
        }
        val decision = logDecision(
            DecisionKind.REQUEST_ENDED,
            request.head.callId,
            "route" to request.route.id,
            "attempts" to request.triedUpstreams.size,
            "events" to result.events,
            "input_tokens" to request.head.prompt?.inputTokens,
            "first_event_ms" to request.firstEventAt?.let { it - request.arrivedAt },
            "took_ms" to now - request.arrivedAt,
        )
        return ForwardingStep((measured ?: tables).withoutRequest(request, cost), listOf(decision))
    }

    /** Forwards the failure that the upstream answered, unless a retry at another upstream may succeed. */
    private fun handleFailureAnswer(
        tables: ForwardingTables,
        request: RequestRow,
        phase: AwaitingAnswer,
        result: AnsweredFailure,
        now: Timestamp,
    ): ForwardingStep {
        val executedRequest = request.copy(mayHaveRun = true)
        val isServerError = result.status >= FIRST_SERVER_ERROR
        val isRetryable = isServerError && request.route.kind.isRetryable
        val shouldRetry = isRetryable && tables.canRetry(executedRequest, now, settings)
        val decision = logDecision(
            DecisionKind.REQUEST_ENDED,
            request.head.callId,
            "route" to request.route.id,
            "status" to result.status,
            "upstream" to phase.upstream,
            "attempts" to request.triedUpstreams.size,
            "took_ms" to now - request.arrivedAt,
        )
        return when {
            shouldRetry -> retryRequest(tables, executedRequest, now)
            else -> ForwardingStep(
                tables.withoutRequest(executedRequest, tables.costOf(executedRequest, 0)),
                listOf(ForwardFailure(request.number), decision),
            )
        }
    }

    private fun retryOrRefuse(
        tables: ForwardingTables,
        request: RequestRow,
        result: AttemptResult,
        now: Timestamp,
    ): ForwardingStep {
        val isUnsent = result is NotSent
        val candidate = if (isUnsent) request.withoutUnsentAttempt() else request
        val reason = if (isUnsent) RefusalReason.NO_UPSTREAM else RefusalReason.QUEUE_FULL
        return when {
            tables.canRetry(candidate, now, settings) -> retryRequest(tables, candidate, now)
            candidate.mayHaveRun -> refuse(tables, candidate, RefusalReason.UPSTREAM_FAILED, now)
            else -> refuse(tables, candidate, reason, now)
        }
    }

    private fun handleLostAnswer(
        tables: ForwardingTables,
        request: RequestRow,
        result: AnswerLost,
        now: Timestamp,
    ): ForwardingStep {
        val executedRequest = request.copy(
            mayHaveRun = true,
            isAnswerStarted = request.isAnswerStarted || result.isAnswerStarted,
            deliveredEvents = result.events,
        )
        val isContinuable =
            if (executedRequest.isAnswerStarted) result.isResumable else !tables.isSuspect(request)
        val canContinue = request.route.kind.isRetryable && isContinuable
        return when {
            canContinue && tables.canRetry(executedRequest, now, settings) -> retryRequest(tables, executedRequest, now)
            else -> refuse(tables, executedRequest, RefusalReason.INCOMPLETE_ANSWER, now)
        }
    }

    private fun retryRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val next = tables.withoutInFlight(request)
        val retries =
            if (request.triedUpstreams.isEmpty()) next.retries else next.retries.withRetryCounted(request.group, now)
        val decision = logDecision(
            DecisionKind.REQUEST_REPEATED,
            request.head.callId,
            "attempts" to request.triedUpstreams.size,
            "remaining_ms" to request.dueAt - now,
        )
        return ForwardingStep(
            next.copy(retries = retries).withWaiting(request.copy(phase = AwaitingUpstream)),
            listOf(decision),
        )
    }

    private fun refuse(
        tables: ForwardingTables,
        request: RequestRow,
        reason: RefusalReason,
        now: Timestamp,
    ): ForwardingStep = refuseRequest(tables, request, reason, settings.times.retryAfterMillis, now)
}

private fun originOf(request: RequestRow, phase: AwaitingAnswer): StreamOrigin =
    StreamOrigin(request.group, request.streamVersion ?: phase.version)

private fun cancelRequest(tables: ForwardingTables, message: CallerDisconnected): ForwardingStep {
    val request = tables.requests[message.number] ?: return ForwardingStep(tables)
    val mayHaveRun = request.mayHaveRun || request.silent != null || request.phase is AwaitingAnswer
    val cost = tables.costOf(request.copy(mayHaveRun = mayHaveRun), message.deliveredEvents)
    return ForwardingStep(
        tables.withoutRequest(request, cost),
        listOf(
            CancelAttempt(request.number),
            logDecision(DecisionKind.CALLER_LEFT, request.head.callId, "events" to message.deliveredEvents),
        ),
    )
}
