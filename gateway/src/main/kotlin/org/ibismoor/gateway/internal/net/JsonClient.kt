/**
 * Client for calls with small, buffered answers: between router and control processes, and to the platform's upstream
 * list.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.ibismoor.gateway.api.SimpleAnswer
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Default bound of an answer's body, which may hold a configuration and the whole upstream list. */
private const val MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024

internal class JsonClient(
    private val group: EventLoopGroup,
    private val pool: ClientPool,
    private val maximumAnswerBytes: Int = MAXIMUM_ANSWER_BYTES,
) {
    /** A client with the same connections for answers of at most [bytes] bytes. */
    fun withMaximumAnswer(bytes: Int): JsonClient = JsonClient(group, pool, bytes)

    /** Completes with the answer, or with [CallFailedException] after a failure or [timeoutMillis]. */
    fun call(address: String, method: String, path: String, body: String?, timeoutMillis: Long): FutureAnswer {
        val future = FutureAnswer()
        group.execute { send(httpCall(address, method, path, body), timeoutMillis, future) }
        return future
    }

    private fun httpCall(address: String, method: String, path: String, body: String?): HttpCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        headers.set(HttpHeaderNames.HOST, address)
        if (body != null) headers.set(HttpHeaderNames.CONTENT_TYPE, SimpleAnswer.JSON)
        if (body != null) headers.set(HttpHeaderNames.CONTENT_LENGTH, 0)
        return HttpCall(address, HttpMethod.valueOf(method), path, headers, body.orEmpty().encodeToByteArray())
    }

    private fun send(call: HttpCall, timeoutMillis: Long, future: FutureAnswer) {
        val listener = AnswerCollector(future, maximumAnswerBytes)
        val pending = pool.send(call, listener)
        val timeout = group.schedule({
            val cause = "timeout_after_${timeoutMillis}_ms_with_${listener.receivedBytes}_bytes"
            future.completeExceptionally(CallFailedException(cause))
        }, timeoutMillis, TimeUnit.MILLISECONDS)
        future.whenComplete { _, failure ->
            timeout.cancel(false)
            if (failure == null) pending.markEnded() else pending.cancel()
        }
    }
}

internal typealias FutureAnswer = CompletableFuture<SimpleAnswer>

/** The call failed before its answer was complete. */
internal class CallFailedException(cause: String) : Exception(cause)

private class AnswerCollector(private val future: FutureAnswer, private val maximumBytes: Int) : AnswerListener {
    private var status = 0
    private val bytes = ByteArrayOutputStream()

    val receivedBytes: Int get() = bytes.size()

    override fun onHead(head: HttpResponse): Boolean {
        status = head.status().code()
        return true
    }

    override fun onBody(part: ByteBuf) {
        if (bytes.size() + part.readableBytes() <= maximumBytes) {
            part.readBytes(bytes, part.readableBytes())
        } else {
            future.completeExceptionally(CallFailedException("answer_too_large"))
        }
    }

    override fun onReadComplete() = Unit

    override fun onEnd() {
        future.complete(SimpleAnswer(status, bytes.toString(Charsets.UTF_8)))
    }

    override fun onFailure(cause: String, isSent: Boolean) {
        future.completeExceptionally(CallFailedException(cause))
    }
}
