/**
 * One connection to a server, which carries one call at a time. Unsolicited bytes and answers to other requests make
 * the connection unusable for later calls.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.nio.channels.ClosedChannelException

/** Idle time within which a connection is reused if the server sends no `Keep-Alive` timeout. */
private const val DEFAULT_IDLE_MILLIS = 700L

/** Margin before the server's idle timeout, so that no request is sent while the server closes the connection. */
private const val IDLE_MARGIN_MILLIS = 500L
private const val MILLIS_PER_SECOND = 1_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val FIRST_FINAL_STATUS = 200
private const val BODY_SLICE_BYTES = 64 * 1024

/** Bound on interim answers and answers to other requests, which are skipped; a server can send them endlessly. */
private const val MAXIMUM_SKIPPED_BYTES = 1024 * 1024L

@Suppress("TooManyFunctions") // one function for each event of a channel
internal class ClientConnection(
    private val channel: Channel,
    private val decoder: AnswerDecoder,
    private val pool: ClientPool,
    val address: String,
) : ChannelInboundHandlerAdapter() {
    private var listener: AnswerListener? = null
    private var isSkippingAnswer = false
    private var isReusable = true
    private var isRequestWritten = false
    private var isReset = false
    private var idleMillis = DEFAULT_IDLE_MILLIS
    private var reusableUntil = 0L

    /** True if the server is expected to keep the connection open for another call. */
    fun isUsable(): Boolean = channel.isActive && isReusable && System.nanoTime() / NANOS_PER_MILLI < reusableUntil

    fun send(call: HttpCall, answer: AnswerListener) {
        listener = answer
        isRequestWritten = false
        decoder.markUse()
        decoder.isHeadRequest = call.method.name() == "HEAD"
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, call.headers)
        val hasBody = call.body.isNotEmpty() || call.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) call.headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        channel.write(head)
        writeBody(call.body, 0)
    }

    /** The connection copies what it writes to memory outside of the heap, so a body is written slice by slice. */
    private fun writeBody(body: ByteArray, start: Int) {
        val end = minOf(start + BODY_SLICE_BYTES, body.size)
        val slice = Unpooled.wrappedBuffer(body, start, end - start)
        if (end == body.size) {
            channel.writeAndFlush(DefaultLastHttpContent(slice)).addListener { recordWrite(it.cause()) }
        } else {
            channel.writeAndFlush(DefaultHttpContent(slice)).addListener {
                if (it.isSuccess) writeBody(body, end) else recordWrite(it.cause())
            }
        }
    }

    /**
     * A server may answer while it still reads the request. If it resets the connection then, the failed write closes
     * the channel without [exceptionCaught], and the decoder ends an answer without a length as if it were complete.
     * After an orderly end, the rest of the request fails as not written to a closed channel.
     */
    private fun recordWrite(failure: Throwable?) {
        isRequestWritten = failure == null
        if (failure != null && failure !is ClosedChannelException) isReset = true
    }

    /** Detaches the listener and closes the connection, so that the server can stop working on the request. */
    fun cancel() {
        listener = null
        isReusable = false
        channel.close()
    }

    fun pauseReading(isPaused: Boolean) {
        channel.config().isAutoRead = !isPaused
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject) readMessage(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun readMessage(message: HttpObject) {
        when {
            listener == null -> cancel()
            message.decoderResult().isFailure -> fail("malformed_answer")
            else -> {
                if (message is HttpResponse) readHead(message)
                if (message is HttpContent) readBody(message)
            }
        }
    }

    private fun readHead(head: HttpResponse) {
        val isInterim = head.status().code() < FIRST_FINAL_STATUS
        isSkippingAnswer = isInterim || listener?.onHead(head) == false
        if (isInterim) return
        if (!isSkippingAnswer) decoder.markUse()
        if (isSkippingAnswer || !HttpUtil.isKeepAlive(head)) isReusable = false
        idleMillis = idleMillisOf(head)
    }

    private fun idleMillisOf(head: HttpResponse): Long {
        val field = head.headers().get("Keep-Alive") ?: return DEFAULT_IDLE_MILLIS
        val seconds = field.split(',').map { it.trim() }.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')?.toLongOrNull()
        return if (seconds == null) DEFAULT_IDLE_MILLIS else seconds * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS
    }

    private fun readBody(message: HttpContent) {
        val answer = listener
        if (!isSkippingAnswer && message.content().isReadable) {
            decoder.markUse()
            answer?.onBody(message.content())
        }
        when {
            message !is LastHttpContent -> Unit
            isReset -> fail("reset")
            isSkippingAnswer -> isSkippingAnswer = false
            listener === answer && answer != null -> finishAnswer(answer)
        }
    }

    private fun finishAnswer(answer: AnswerListener) {
        listener = null
        reusableUntil = System.nanoTime() / NANOS_PER_MILLI + idleMillis
        if (isReusable && isRequestWritten && channel.isActive) pool.release(this) else channel.close()
        answer.onEnd()
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (listener != null && decoder.unusedBytes > MAXIMUM_SKIPPED_BYTES) fail("endless_skipped_bytes")
        listener?.onReadComplete()
    }

    /** Called for a reset before [channelInactive]. An answer without a length must not look complete after a reset. */
    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        isReset = true
        fail("reset")
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("closed")
    }

    private fun fail(cause: String) {
        val answer = listener
        isReusable = false
        listener = null
        pool.remove(this)
        channel.close()
        answer?.onFailure(cause, isSent = true)
    }

    internal fun closeIdle() {
        if (listener == null) channel.close()
    }
}
