/**
 * Reads the `Retry-After` field of an upstream's refusal: seconds, which may include a fraction.
 */
package org.ibismoor.gateway.internal.router

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

private const val MILLIS_PER_SECOND = 1_000.0
private val SECONDS = Regex("[0-9]+(\\.[0-9]*)?|\\.[0-9]+")

internal sealed interface RequestedPause {
    data object None : RequestedPause

    /** Longer than 0. A value beyond the range of a `Long` is its maximum; the decision module bounds it further. */
    data class Pause(val millis: Long) : RequestedPause

    /** A date, a negative number, text or a repeated field. It is ignored. */
    data object Malformed : RequestedPause
}

internal fun requestedPauseOf(head: HttpResponse): RequestedPause {
    val fields = head.headers().getAll(HttpHeaderNames.RETRY_AFTER)
    val text = fields.singleOrNull()?.trim()
    return when {
        head.status() != HttpResponseStatus.SERVICE_UNAVAILABLE || fields.isEmpty() -> RequestedPause.None
        text == null || !SECONDS.matches(text) -> RequestedPause.Malformed
        else -> {
            val millis = (text.toDouble() * MILLIS_PER_SECOND).toLong()
            if (millis > 0) RequestedPause.Pause(millis) else RequestedPause.None
        }
    }
}
