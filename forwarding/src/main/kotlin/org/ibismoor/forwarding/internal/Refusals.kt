/**
 * Ends a request with a refusal.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.RequestRow

/** Refuses [request]. Only a request that has not run is told when to come back. */
internal fun refusal(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    retryAfterMillis: Long,
    now: Timestamp,
): ForwardingStep {
    val outcome = if (request.mayHaveRun) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
    val allowance = tables.allowanceOf(request.organisation)
    val decision = decided(
        DecisionKind.REQUEST_REFUSED,
        request.head.callId,
        "reason" to reason.code,
        "outcome" to outcome.text,
        "route" to request.route.id,
        "organisation" to request.organisation,
        "attempts" to request.tried.size,
        "version" to tables.configuration?.version,
        "control_age_ms" to tables.fleet.answeredAt?.let { now - it },
        "allowance_age_ms" to allowance.toldAt?.let { now - it },
        "took_ms" to now - request.arrivedAt,
    )
    val retryAfter = retryAfterMillis.takeIf { outcome == Outcome.NOT_RUN }
    return ForwardingStep(
        tables.ended(request, tables.costOf(request, request.deliveredEvents)),
        listOf(RefuseRequest(request.number, reason, outcome, retryAfter), decision),
    )
}

internal fun describe(result: AttemptResult): String =
    when (result) {
        is Delivered -> "delivered"
        is AnsweredFailure -> "status_${result.status}"
        is NotExecuted -> if (result.isOtherUpstream) "other_upstream" else "not_executed_${result.status}"
        is NotSent -> "not_sent_${result.cause}"
        is AnswerLost -> "lost_${result.cause}"
    }
