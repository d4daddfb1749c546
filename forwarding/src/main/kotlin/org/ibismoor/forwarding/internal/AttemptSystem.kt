/**
 * Decides what follows the end of an attempt: the answer, another attempt, or a refusal. A request that is not
 * repeatable goes to a second upstream only if the first one surely did not run it.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
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
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.Sent

/** Failures from this status on are the upstream's fault and may be different at another one. */
private const val FIRST_SERVER_ERROR = 500

/** Attempts that could not be sent are repeated at most this often. */
private const val MAXIMUM_UNSENT = 4

/** A request with less time than this is not sent again. */
private const val SHORTEST_ATTEMPT_MILLIS = 40L

@Suppress("TooManyFunctions") // one function for each result of an attempt
internal class AttemptSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is AttemptEnded -> ended(table, message, tick.now)
                is FirstEventArrived -> ForwardingStep(begun(table, message, tick.now))
                is CallerDisconnected -> left(table, message)
                else -> ForwardingStep(table)
            }
        }

    private fun begun(tables: ForwardingTables, message: FirstEventArrived, now: Timestamp): ForwardingTables {
        val request = tables.requests[message.number]
        val sent = request?.phase as? Sent
        if (request == null || sent == null || sent.attempt != message.attempt) return tables
        val read = request.copy(phase = sent.copy(pendingPromptTokens = 0), mayHaveRun = true, isAnswerBegun = true)
        return tables
            .updatingUpstream(sent) {
                it.copy(
                    pendingPromptTokens = (it.pendingPromptTokens - sent.pendingPromptTokens).coerceAtLeast(0),
                )
            }
            .loading(sent, message.load, now)
            .let { it.copy(requests = it.requests.put(request.number, read)) }
    }

    private fun ended(tables: ForwardingTables, message: AttemptEnded, now: Timestamp): ForwardingStep {
        val request = tables.requests[message.number] ?: return ForwardingStep(tables)
        val sent = request.phase as? Sent
        return when {
            sent == null || sent.attempt != message.attempt -> ForwardingStep(tables)
            else -> judged(tables, request, sent, message.result, now)
        }
    }

    private fun judged(
        tables: ForwardingTables,
        request: RequestRow,
        sent: Sent,
        result: AttemptResult,
        now: Timestamp,
    ): ForwardingStep {
        val noted = tables.noting(sent, result, now, settings.times)
        val failed = decided(
            DecisionKind.ATTEMPT_FAILED,
            request.head.callId,
            "upstream" to sent.upstream,
            "attempt" to sent.attempt,
            "after_ms" to now - sent.at,
            "result" to describe(result),
        )
        return when (result) {
            is Delivered -> delivered(noted.tables, request, result, now)
            is AnsweredFailure -> failure(noted.tables, request, sent, result, now)
            is NotExecuted, is NotSent -> again(noted.tables, request, result, now)
            is AnswerLost -> lost(noted.tables, request, result, now)
        }.let { step ->
            val failure = listOf(failed).filter { result !is Delivered }
            ForwardingStep(step.tables, noted.effects + failure + step.effects)
        }
    }

    private fun delivered(
        tables: ForwardingTables,
        request: RequestRow,
        result: Delivered,
        now: Timestamp,
    ): ForwardingStep {
        val cost = tables.costOf(request.copy(mayHaveRun = true), result.events)
        val decision = decided(
            DecisionKind.REQUEST_ENDED,
            request.head.callId,
            "route" to request.route.id,
            "attempts" to request.tried.size,
            "events" to result.events,
            "took_ms" to now - request.arrivedAt,
        )
        return ForwardingStep(tables.ended(request, cost), listOf(decision))
    }

    /** A failure that the upstream computed is its answer, unless another upstream may do better. */
    private fun failure(
        tables: ForwardingTables,
        request: RequestRow,
        sent: Sent,
        result: AnsweredFailure,
        now: Timestamp,
    ): ForwardingStep {
        val ran = request.copy(mayHaveRun = true)
        val isServerError = result.status >= FIRST_SERVER_ERROR
        val isWorthwhile = isServerError && request.route.kind.isRepeatable && canRepeat(tables, ran, now)
        val decision = decided(
            DecisionKind.REQUEST_ENDED,
            request.head.callId,
            "route" to request.route.id,
            "status" to result.status,
            "upstream" to sent.upstream,
            "attempts" to request.tried.size,
            "took_ms" to now - request.arrivedAt,
        )
        return when {
            isWorthwhile -> repeat(tables, ran, now)
            else -> ForwardingStep(
                tables.ended(ran, tables.costOf(ran, 0)),
                listOf(ForwardFailure(request.number), decision),
            )
        }
    }

    private fun again(
        tables: ForwardingTables,
        request: RequestRow,
        result: AttemptResult,
        now: Timestamp,
    ): ForwardingStep {
        val isUnsent = result is NotSent
        val fresh = if (isUnsent) request.withoutLastTry() else request
        val reason = if (isUnsent) RefusalReason.NO_UPSTREAM else RefusalReason.QUEUE_FULL
        return when {
            canRepeat(tables, fresh, now) -> repeat(tables, fresh, now)
            fresh.mayHaveRun -> refuse(tables, fresh, RefusalReason.UPSTREAM_FAILED, now)
            else -> refuse(tables, fresh, reason, now)
        }
    }

    private fun lost(
        tables: ForwardingTables,
        request: RequestRow,
        result: AnswerLost,
        now: Timestamp,
    ): ForwardingStep {
        val ran = request.copy(
            mayHaveRun = true,
            isAnswerBegun = request.isAnswerBegun || result.isAnswerBegun,
            deliveredEvents = result.events,
        )
        val canGoOn = request.route.kind.isRepeatable && (!ran.isAnswerBegun || result.isResumable)
        return when {
            canGoOn && canRepeat(tables, ran, now) -> repeat(tables, ran, now)
            else -> refuse(tables, ran, RefusalReason.INCOMPLETE_ANSWER, now)
        }
    }

    private fun canRepeat(tables: ForwardingTables, request: RequestRow, now: Timestamp): Boolean =
        request.tried.size < request.route.maximumAttempts &&
            request.unsent < MAXIMUM_UNSENT &&
            request.dueAt - now >= SHORTEST_ATTEMPT_MILLIS &&
            (request.tried.isEmpty() || tables.mayRepeat(request.group, settings))

    private fun repeat(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val next = tables.leavingUpstream(request)
        val counted = if (request.tried.isEmpty()) next.retries else next.retries.repeating(request.group, now)
        val decision = decided(
            DecisionKind.REQUEST_REPEATED,
            request.head.callId,
            "attempts" to request.tried.size,
            "remaining_ms" to request.dueAt - now,
        )
        return ForwardingStep(
            next.copy(retries = counted).waitingFor(request.copy(phase = AwaitingUpstream)),
            listOf(decision),
        )
    }

    private fun refuse(
        tables: ForwardingTables,
        request: RequestRow,
        reason: RefusalReason,
        now: Timestamp,
    ): ForwardingStep = refusal(tables, request, reason, settings.times.retryAfterMillis, now)
}

/** An upstream that has received nothing does not count against the attempts of a route. */
private fun RequestRow.withoutLastTry(): RequestRow =
    copy(tried = tried.removeAt(tried.lastIndex), unsent = unsent + 1)

private fun left(tables: ForwardingTables, message: CallerDisconnected): ForwardingStep {
    val request = tables.requests[message.number] ?: return ForwardingStep(tables)
    val cost = tables.costOf(request.copy(mayHaveRun = request.phase is Sent), message.deliveredEvents)
    return ForwardingStep(
        tables.ended(request, cost),
        listOf(
            CancelAttempt(request.number),
            decided(DecisionKind.CALLER_LEFT, request.head.callId, "events" to message.deliveredEvents),
        ),
    )
}
