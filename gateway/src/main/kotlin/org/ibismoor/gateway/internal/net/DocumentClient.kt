/**
 * Fetches compressed documents. A fetch has no total time limit, since a large document takes long on a slow or shared
 * link: it fails only when its bytes stop arriving, or nearly so. No transfer is abandoned and begun again while it
 * advances.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import org.ibismoor.gateway.api.CompressedText
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val STALL_TIMEOUT_MILLIS = 600L

/** A transfer with fewer bytes within the timeout counts as stalled, except in its first interval. */
private const val MINIMUM_BYTES_PER_TIMEOUT = 1_024
private const val MAXIMUM_COMPRESSED_BYTES = 8 * 1024 * 1024
private const val STATUS_OK = 200

internal class DocumentClient(private val group: EventLoopGroup, private val pool: ClientPool) {
    /** Completes with the document, or with [CallFailedException]. */
    fun fetch(address: String, path: String): CompletableFuture<CompressedText> {
        val future = CompletableFuture<CompressedText>()
        group.execute { DocumentReceiver(group, future).start(pool, getCall(address, path)) }
        return future
    }

    private fun getCall(address: String, path: String): HttpCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        headers.set(HttpHeaderNames.HOST, address)
        return HttpCall(address, HttpMethod.GET, path, headers, ByteArray(0))
    }
}

private class DocumentReceiver(
    private val group: EventLoopGroup,
    private val future: CompletableFuture<CompressedText>,
) : AnswerListener {
    private val bytes = ByteArrayOutputStream()
    private var status = 0
    private var bytesAtLastCheck: Int? = null
    private var call: PendingCall? = null
    private var stallCheck: ScheduledFuture<*>? = null

    fun start(pool: ClientPool, httpCall: HttpCall) {
        scheduleStallCheck()
        call = pool.send(httpCall, this)
    }

    private fun scheduleStallCheck() {
        stallCheck = group.schedule(::checkStall, STALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun checkStall() {
        val isSlow = bytesAtLastCheck?.let { bytes.size() - it < MINIMUM_BYTES_PER_TIMEOUT } ?: (status == 0)
        if (isSlow) return cancel("stalled_after_${bytes.size()}_bytes")
        bytesAtLastCheck = bytes.size()
        scheduleStallCheck()
    }

    override fun onHead(head: HttpResponse): Boolean {
        status = head.status().code()
        return true
    }

    override fun onBody(part: ByteBuf) {
        when {
            future.isDone -> Unit
            bytes.size() + part.readableBytes() > MAXIMUM_COMPRESSED_BYTES -> cancel("too_large")
            else -> part.readBytes(bytes, part.readableBytes())
        }
    }

    override fun onReadComplete() = Unit

    override fun onEnd() {
        if (status != STATUS_OK) return onFailure("status_$status", isSent = true)
        end()
        future.complete(CompressedText(bytes.toByteArray()))
    }

    override fun onFailure(cause: String, isSent: Boolean) {
        end()
        future.completeExceptionally(CallFailedException(cause))
    }

    private fun cancel(cause: String) {
        call?.cancel()
        onFailure(cause, isSent = true)
    }

    private fun end() {
        stallCheck?.cancel(false)
        call?.markEnded()
    }
}
