/**
 * Checks statuses, and recognises the start of an answer within another one. A faulty server may write an earlier
 * answer a second time and cut it off anywhere; what follows on the connection then reads as its continuation.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpResponse

private const val VERSION_START = "HTTP/1."
private val STATUS_LINE = Regex("HTTP/1\\.\\d \\d{3}")
private val STATUS_LINE_WITH_END = Regex("HTTP/1\\.\\d \\d{3}[^\r\n]*\r\n")

private val STATUS = Regex("[1-5]\\d\\d")

/** The status of an upgrade, which this process never requests. */
private const val SWITCHING_PROTOCOLS = "101"

/** Throws `IllegalArgumentException` unless [status] has three digits and one of the five classes of statuses. */
internal fun requireStatus(status: String) {
    require(STATUS.matches(status)) { "malformed status \"$status\"; send three digits from 100 to 599" }
    require(status != SWITCHING_PROTOCOLS) { "status $status without a request for it; send a final status" }
}

/** Throws `IllegalArgumentException` if [head] holds a second status line, in its reason phrase or in a field. */
internal fun requireSingleHead(head: HttpResponse) {
    val hasStatusLine = STATUS_LINE in head.status().reasonPhrase() ||
        head.headers().any { VERSION_START in it.key || STATUS_LINE in it.value }
    require(!hasStatusLine) { "the head of an answer holds a second status line; the server wrote two answers" }
}

/** True if [text] holds a whole status line with its line end. */
internal fun hasStatusLine(text: String): Boolean = STATUS_LINE_WITH_END in text
