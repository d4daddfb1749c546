/**
 * Collects one request and checks it against the limits and the memory budget.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.gateway.internal.net.ChargedHeaders
import org.ibismoor.gateway.internal.net.addBuffer
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.runtime.api.ChargedBody
import org.ibismoor.runtime.api.MemoryAccount

private const val LAST_PRINTABLE_ASCII = '\u007e'
private const val UNKNOWN_LENGTH = -1L

internal class RequestReader(
    private val head: HttpRequest,
    private val limits: CallerLimits,
    dialect: HttpDialect,
    private val account: MemoryAccount,
) {
    private val fields = dialect.readRequestFields(head.headers())
    private val hosts = head.headers().getAll(HttpHeaderNames.HOST)
    private val headProblem = findProblem()

    /** Null if the head is rejected, so that nothing is charged for its body. */
    private val body: ChargedBody? = if (headProblem == null) createBody() else null

    /** The caller's identifier of the request; null without one. */
    val callId: String? get() = fields?.callId

    val problem: RequestProblem?
        get() = headProblem ?: when (body?.refusal) {
            ChargedBody.Refusal.TOO_LARGE -> RequestProblem.BODY_TOO_LARGE
            ChargedBody.Refusal.NO_MEMORY -> RequestProblem.NO_MEMORY
            null -> null
        }

    private fun createBody(): ChargedBody {
        val length = HttpUtil.getContentLength(head, UNKNOWN_LENGTH).takeIf { it != UNKNOWN_LENGTH }
        return ChargedBody(account, length?.toInt(), limits.bodyBytes)
    }

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
        body?.addBuffer(part)
    }

    /** The whole request; null if it has a [problem]. */
    fun buildRequest(): ReceivedRequest? {
        val bytes = if (problem == null) body?.take() else null
        return bytes?.let {
            ReceivedRequest(
                method = head.method(),
                uri = head.uri(),
                host = hosts.single().substringBefore(':').lowercase(),
                headers = head.headers(),
                fields = checkNotNull(fields) { "request without valid header fields; check problem first" },
                body = it,
            )
        }
    }

    /** Returns the memory of the request to the budget. */
    fun release() {
        body?.release()
        account.release(MemoryClass.HEADS, (head.headers() as? ChargedHeaders)?.chargedBytes ?: 0)
    }
}
