/**
 * Refuses requests and names the results of attempts for the log.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.RequestRow

private val TOKEN_REASONS = setOf(RefusalReason.SHARE_EXHAUSTED, RefusalReason.BUDGET_EXHAUSTED)

/**
 * Refuses [request]. The refusal has a retry time only if the request has not run. A request that was to be sent to a
 * second upstream since the first one is silent goes on with the first one instead.
 */
internal fun refuseRequest(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    retryAfterMillis: Long?,
    now: Timestamp,
): ForwardingStep {
    val isSilentOnly = request.silent != null && request.phase !is AwaitingAnswer
    if (isSilentOnly) return ForwardingStep(tables.withSilentOnly(request))
    val mayHaveRun = request.mayHaveRun || request.silent != null
    val outcome = if (mayHaveRun) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
    val allowance = tables.allowanceOf(request.organisation)
    val decision = logDecision(
        DecisionKind.REQUEST_REFUSED,
        request.head.callId,
        "reason" to reason.code,
        "outcome" to outcome.text,
        "route" to request.route.id,
        "organisation" to request.organisation,
        "attempts" to request.triedUpstreams.size,
        "version" to tables.configuration?.version,
        "control_age_ms" to tables.fleet.leaderAnsweredAt?.let { now - it },
        "allowance_age_ms" to allowance.updatedAt?.let { now - it },
        "took_ms" to now - request.arrivedAt,
        "limit_ms" to request.dueAt - request.arrivedAt,
        "limit" to limitText(request),
        "events" to request.deliveredEvents,
        "continues" to (request.isAnswerStarted || request.head.continuation != null),
    )
    val tokens = if (reason in TOKEN_REASONS) tokenFacts(request, allowance) else emptyList()
    val retryAfter = retryAfterMillis?.takeIf { outcome == Outcome.NOT_RUN }
    return ForwardingStep(
        tables.withoutRequest(request, tables.costOf(request, request.deliveredEvents)),
        listOf(RefuseRequest(request.number, reason, outcome, retryAfter), decision.withFacts(tokens)),
    )
}

/**
 * Refuses to continue a stream, since no upstream of its version serves. A version that the list does not have may be
 * newer than the list, so the caller is told to come back; one whose upstreams are leaving does not come back.
 */
internal fun refuseVersionGone(
    tables: ForwardingTables,
    request: RequestRow,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val isListed = tables.upstreams.values.any {
        it.entry.group == request.group && it.entry.version == request.streamVersion
    }
    val retryAfter = settings.times.retryAfterMillis.takeIf { !isListed }
    return refuseRequest(tables, request, RefusalReason.VERSION_GONE, retryAfter, now)
}

/** Which of the two bounds ends the request first: its caller's deadline or the timeout of its route. */
private fun limitText(request: RequestRow): String {
    val isRouteFirst = request.dueAt - request.arrivedAt >= request.route.timeoutMillis
    return if (isRouteFirst) "route_timeout" else "deadline"
}

/** The amounts that decide on a refusal for want of tokens. The last two are the leader's, as of its last answer. */
private fun tokenFacts(request: RequestRow, allowance: AllowanceRow): List<Fact> =
    listOf(
        Fact("cost", request.head.prompt?.maximumCost),
        Fact("held", allowance.held),
        Fact("reserved", allowance.reserved),
        Fact("unissued", allowance.unissued),
        Fact("unspent", allowance.unspent.takeIf { allowance.updatedAt != null }),
    )

internal fun LogDecision.withFacts(facts: List<Fact>) = LogDecision(decision.copy(facts = decision.facts + facts))

internal fun resultText(result: AttemptResult): String =
    when (result) {
        is Delivered -> "delivered"
        is AnsweredFailure -> "status_${result.status}"
        is NotExecuted -> if (result.isOtherUpstream) "other_upstream" else "not_executed_${result.status}"
        is NotSent -> "not_sent_${result.cause}"
        is AnswerLost -> "lost_${result.cause}"
    }
