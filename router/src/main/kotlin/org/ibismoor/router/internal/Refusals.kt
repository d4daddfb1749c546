/**
 * Tells callers of refusals: as a response, or as the last event of a stream that has begun.
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

/** A caller that is refused for these reasons should use another router. */
private val elsewhere = setOf(RefusalReason.DRAINING, RefusalReason.NOT_READY, RefusalReason.LEDGER_UNAVAILABLE)

internal class Refusals(
    private val view: () -> RouterView,
    private val ownUrl: String,
    private val metrics: RouterMetrics,
) {
    /** A refusal by the control state, which has counted it. */
    fun response(refuse: RefuseRequest): Response = respond(refuse.reason, detail(refuse))

    /** The same as the last event of a stream. */
    fun event(refuse: RefuseRequest): ByteArray =
        "event: error\ndata: ${encodeJson(ErrorBody.serializer(), ErrorBody(detail(refuse)))}\n\n".toByteArray()

    /** A refusal before the request reached the control state. */
    fun early(reason: RefusalReason, message: String): Response {
        metrics.count(RoutingEvent.REFUSAL, reason.code)
        return respond(reason, ErrorDetail(message, reason.errorType, reason.code, Outcome.NOT_RUN))
    }

    private fun respond(reason: RefusalReason, detail: ErrorDetail): Response {
        val response = errorResponse(reason, detail)
        val seconds = detail.retryAfterMillis?.let { (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND }
        return if (seconds == null) response else response.header("Retry-After", seconds.toString())
    }

    private fun detail(refuse: RefuseRequest): ErrorDetail =
        ErrorDetail(
            message = messageOf(refuse.reason),
            type = refuse.reason.errorType,
            code = refuse.reason.code,
            outcome = refuse.outcome,
            retryAfterMillis = refuse.retryAfterMillis,
            addresses = view().routers.map { it.baseUrl }.minus(ownUrl).takeIf { refuse.reason in elsewhere },
            recordedStatus = refuse.recordedStatus,
        )
}
