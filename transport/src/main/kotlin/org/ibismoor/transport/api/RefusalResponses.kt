/**
 * Maps refusal reasons to HTTP responses with a status and an error body.
 */
package org.ibismoor.transport.api

import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason

private val statuses: Map<RefusalReason, Status> = buildMap {
    put(RefusalReason.MALFORMED_REQUEST, Status.BAD_REQUEST)
    put(RefusalReason.UNAUTHENTICATED, Status.UNAUTHORIZED)
    put(RefusalReason.REQUEST_TOO_LARGE, Status.REQUEST_ENTITY_TOO_LARGE)
    put(RefusalReason.KEY_REUSED, Status.UNPROCESSABLE_ENTITY)
    putAll(budgetReasons().associateWith { Status.PAYMENT_REQUIRED })
    putAll(notFoundReasons().associateWith { Status.NOT_FOUND })
    putAll(conflictReasons().associateWith { Status.CONFLICT })
    putAll(rateReasons().associateWith { Status.TOO_MANY_REQUESTS })
    putAll(upstreamReasons().associateWith { Status.BAD_GATEWAY })
    put(RefusalReason.UPSTREAM_TIMEOUT, Status.GATEWAY_TIMEOUT)
    put(RefusalReason.INTERNAL_ERROR, Status.INTERNAL_SERVER_ERROR)
}

private fun budgetReasons() = listOf(RefusalReason.BUDGET_EXHAUSTED, RefusalReason.RESERVATION_REACHED)

private fun notFoundReasons() =
    listOf(RefusalReason.UNKNOWN_ROUTE, RefusalReason.UNKNOWN_MODEL, RefusalReason.UNKNOWN_BUDGET)

private fun conflictReasons() =
    listOf(
        RefusalReason.ALREADY_RAN,
        RefusalReason.CLAIMED,
        RefusalReason.IN_PROGRESS,
        RefusalReason.KEY_EXPIRED,
        RefusalReason.RERUN_LIMIT,
    )

private fun rateReasons() =
    listOf(RefusalReason.RATE_LIMITED, RefusalReason.QUEUE_FULL, RefusalReason.QUEUE_DEADLINE)

private fun upstreamReasons() =
    listOf(RefusalReason.UPSTREAM_FAILED, RefusalReason.CROSSED_ANSWER, RefusalReason.INCOMPLETE_ANSWER)

/** Reasons without an entry mean that the fleet is temporarily unable to serve the request. */
val RefusalReason.httpStatus: Status get() = statuses[this] ?: Status.SERVICE_UNAVAILABLE

/** Error type of the reason as client libraries expect it. */
val RefusalReason.errorType: String
    get() = when (httpStatus) {
        Status.UNAUTHORIZED -> "authentication_error"
        Status.PAYMENT_REQUIRED -> "insufficient_quota"
        Status.TOO_MANY_REQUESTS -> "rate_limit_error"
        else -> if (httpStatus.clientError) "invalid_request_error" else "server_error"
    }

fun refusalResponse(reason: RefusalReason, outcome: Outcome, message: String): Response =
    errorResponse(reason, ErrorDetail(message, reason.errorType, reason.code, outcome))

fun errorResponse(reason: RefusalReason, detail: ErrorDetail): Response =
    jsonResponse(reason.httpStatus, ErrorBody.serializer(), ErrorBody(detail))
