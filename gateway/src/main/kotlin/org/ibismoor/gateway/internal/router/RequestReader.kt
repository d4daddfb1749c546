/**
 * Collects one request and checks it against the limits.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.gateway.api.HttpDialect
import java.io.ByteArrayOutputStream

private const val LAST_PRINTABLE_ASCII = '\u007e'

internal class RequestReader(private val head: HttpRequest, private val limits: CallerLimits, dialect: HttpDialect) {
    private val fields = dialect.readRequestFields(head.headers())
    private val hosts = head.headers().getAll(HttpHeaderNames.HOST)
    private val body = ByteArrayOutputStream()

    /** The caller's identifier of the request; null without one. */
    val callId: String? get() = fields?.callId

    var problem: RequestProblem? = findProblem()
        private set

    private fun findProblem(): RequestProblem? =
        when {
            head.protocolVersion() != HttpVersion.HTTP_1_1 -> RequestProblem.UNSUPPORTED_VERSION
            hosts.size != 1 || fields == null || !isPrintableAsciiPath() -> RequestProblem.MALFORMED
            HttpUtil.getContentLength(head, 0L) > limits.bodyBytes -> RequestProblem.BODY_TOO_LARGE
            else -> null
        }

    /** Other characters would be encoded differently when the request is forwarded. */
    private fun isPrintableAsciiPath(): Boolean =
        head.uri().startsWith('/') && head.uri().all { it in '!'..LAST_PRINTABLE_ASCII }

    fun add(part: ByteBuf) {
        when {
            problem != null -> Unit
            body.size() + part.readableBytes() > limits.bodyBytes -> problem = RequestProblem.BODY_TOO_LARGE
            else -> part.getBytes(part.readerIndex(), body, part.readableBytes())
        }
    }

    fun buildRequest(): ReceivedRequest =
        ReceivedRequest(
            method = head.method(),
            uri = head.uri(),
            host = hosts.single().substringBefore(':').lowercase(),
            headers = head.headers(),
            fields = checkNotNull(fields) { "request without valid header fields; check problem first" },
            body = body.toByteArray(),
        )
}
