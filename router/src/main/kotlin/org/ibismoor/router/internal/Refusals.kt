/**
 * Reports refusals to callers: as a response, or as the last event of a stream that has started.
 */
package org.ibismoor.router.internal

import org.http4k.core.Response
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.membership.api.RouterView
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.transport.api.ErrorBody
import org.ibismoor.transport.api.ErrorDetail
import org.ibismoor.transport.api.encodeJson
import org.ibismoor.transport.api.errorResponse
import org.ibismoor.transport.api.errorType

private const val MILLIS_PER_SECOND = 1_000L

/** Refusals for these reasons carry the addresses of other routers, which may be able to serve the caller. */
private val redirectReasons = setOf(RefusalReason.DRAINING, RefusalReason.NOT_READY, RefusalReason.LEDGER_UNAVAILABLE)

internal class Refusals(
    private val view: () -> RouterView,
    private val ownUrl: String,
    private val metrics: RouterMetrics,
) {
    /** A refusal decided and counted by the control state. */
    fun response(refusal: RefuseRequest): Response = respond(refusal.reason, detail(refusal))

    /** A refusal as the last event of a started stream. */
    fun errorEvent(refusal: RefuseRequest): ByteArray =
        "event: error\ndata: ${encodeJson(ErrorBody.serializer(), ErrorBody(detail(refusal)))}\n\n".toByteArray()

    /** Counts and reports a refusal before the request reached the control state. */
    fun refuseEarly(reason: RefusalReason, message: String): Response {
        metrics.count(RoutingEvent.REFUSAL, reason.code)
        return respond(reason, ErrorDetail(message, reason.errorType, reason.code, Outcome.NOT_RUN))
    }

    private fun respond(reason: RefusalReason, detail: ErrorDetail): Response {
        val response = errorResponse(reason, detail)
        val seconds = detail.retryAfterMillis?.let { (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND }
        return if (seconds == null) response else response.header("Retry-After", seconds.toString())
    }

    private fun detail(refusal: RefuseRequest): ErrorDetail =
        ErrorDetail(
            message = messageOf(refusal.reason),
            type = refusal.reason.errorType,
            code = refusal.reason.code,
            outcome = refusal.outcome,
            retryAfterMillis = refusal.retryAfterMillis,
            addresses = view().routers.map { it.baseUrl }.minus(ownUrl).takeIf { refusal.reason in redirectReasons },
            recordedStatus = refusal.recordedStatus,
        )
}
