/**
 * One connection of a caller. It reads one complete request at a time and queues pipelined requests until the answer is
 * written. Requests that violate the limits or the protocol are rejected here and never reach an upstream.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.ibismoor.core.api.Outcome
import org.ibismoor.gateway.internal.net.AnswerEncoder
import org.ibismoor.gateway.internal.net.restartIfHeapIsExhausted
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.runtime.api.MemoryAccount
import java.io.IOException

/** Pipelined objects that are queued before reading from the connection stops. */
private const val MAXIMUM_PIPELINED_OBJECTS = 32

@Suppress("TooManyFunctions") // one function for each event of a channel
internal class CallerConnection(
    private val encoder: AnswerEncoder,
    private val account: MemoryAccount,
    private val environment: ConnectionEnvironment,
) : ChannelInboundHandlerAdapter(), AnswerSink {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<HttpObject>()
    private var requestReader: RequestReader? = null

    /** The reader of the request of [exchange], which holds its memory. */
    private var servedReader: RequestReader? = null

    /** Bytes charged for the answer of [exchange] while it is buffered. */
    private var bufferedAnswerBytes = 0L

    /** Bytes charged for whole answers that are being written. */
    private var wholeAnswerBytes = 0L

    /** Bytes charged for parts of an answer that the caller has not taken. */
    private var unsentBytes = 0L
    private var exchange: Exchange? = null
    private var isKeepAlive = true
    private var isClosing = false

    /** The exception that closed the connection. */
    private var failure: Throwable? = null

    /** Start of the last request or end of the last answer, from [System.nanoTime]. */
    private var lastActivityAt = System.nanoTime()

    val pendingBytes: Long get() = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) = environment.registerConnection(this)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (exchange == null) recordUnstartedCut()
        requestReader = null
        isClosing = true
        pipelined.forEach(ReferenceCountUtil::release)
        pipelined.clear()
        environment.unregisterConnection(this)
        account.close()
        exchange?.handleCallerDisconnect(failure?.let(::cutCauseOf) ?: CutCause.CALLER_CLOSED, failure?.let(::nameOf))
        exchange = null
    }

    /** Records a request without an exchange: its bytes are incomplete, or an exception came before the exchange. */
    private fun recordUnstartedCut() {
        val exception = failure?.takeIf { cutCauseOf(it) == CutCause.INTERNAL_ERROR }
        val callId = requestReader?.callId
        if (exception != null) {
            environment.cuts.record(CutAnswer(CutCause.INTERNAL_ERROR, nameOf(exception), callId))
        } else if (requestReader != null) {
            environment.cuts.record(CutAnswer(CutCause.REQUEST_INCOMPLETE, callId = callId))
        }
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val message = msg as? HttpObject
        when {
            message == null || isClosing -> ReferenceCountUtil.release(msg)
            exchange != null -> queuePipelined(message)
            else -> readMessage(message)
        }
    }

    private fun queuePipelined(message: HttpObject) {
        val bytes = contentBytes(message)
        if (!account.charge(MemoryClass.BODIES, bytes)) {
            ReferenceCountUtil.release(message)
            return abortWithoutMemory()
        }
        pipelined.addLast(message)
        if (pipelined.size >= MAXIMUM_PIPELINED_OBJECTS) context.channel().config().isAutoRead = false
    }

    private fun contentBytes(message: HttpObject): Long =
        (message as? HttpContent)?.content()?.readableBytes()?.toLong() ?: 0

    private fun readMessage(message: HttpObject) {
        try {
            val problem = if (message.decoderResult().isFailure) problemOf(message) else accept(message)
            if (problem != null) reject(problem)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Adds [message] to the current request. The result is the problem for which the request must be rejected. */
    private fun accept(message: HttpObject): RequestProblem? {
        if (message is HttpRequest) {
            lastActivityAt = System.nanoTime()
            val reader = RequestReader(message, environment.limits, environment.dialect, account)
            requestReader = reader
            isKeepAlive = HttpUtil.isKeepAlive(message)
            encoder.isHeadRequest = message.method().name() == "HEAD"
            if (reader.problem == null && HttpUtil.is100ContinueExpected(message)) writeContinue()
        }
        val reader = requestReader ?: return null
        if (message is HttpContent) reader.add(message.content())
        if (message is LastHttpContent) reader.buildRequest()?.let { startExchange(it, reader) }
        return reader.problem
    }

    private fun writeContinue() {
        context.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
        )
    }

    private fun startExchange(request: ReceivedRequest, reader: RequestReader) {
        account.markServed()
        exchange = environment.startExchange(request, this)
        servedReader = reader
        requestReader = null
    }

    private fun reject(problem: RequestProblem) {
        isKeepAlive = false
        environment.countRejection(problem)
        val retryAfter = RETRY_MILLIS.takeIf { problem == RequestProblem.NO_MEMORY }
        val headers = refusalHeaders()
        if (retryAfter != null) headers.set(HttpHeaderNames.RETRY_AFTER, RETRY_SECONDS)
        sendAnswer(problem.status.code(), "", headers, refusalBody(problem.code, Outcome.NOT_RUN, retryAfter))
    }

    /** Closes the connection if it exceeds the idle timeout, and rejects a request that is sent too slowly. */
    fun checkIdle(nowNanos: Long) {
        val millis = (nowNanos - lastActivityAt) / NANOS_PER_MILLI
        val limits = environment.limits
        val isSlow = requestReader != null && millis > limits.headerTimeoutMillis * REQUEST_TIMEOUT_FACTOR
        val isIdle = requestReader == null && exchange == null && millis > limits.idleTimeoutMillis
        when {
            isSlow -> reject(RequestProblem.TOO_SLOW)
            isIdle -> context.close()
        }
    }

    /** The memory of this connection went to another one. A request that was not read as a whole has not run. */
    fun evict() {
        when {
            isClosing -> Unit
            exchange != null -> abortWithoutMemory()
            requestReader != null -> reject(RequestProblem.NO_MEMORY)
            else -> context.close()
        }
    }

    private fun abortWithoutMemory() {
        exchange?.handleCallerDisconnect(CutCause.MEMORY_USED_UP)
        abort()
    }

    /** Closes the connection if it has no exchange and no request that was read in part or waits to be handled. */
    fun closeIfIdle() {
        if (exchange == null && requestReader == null && pipelined.isEmpty()) context.close()
    }

    override fun sendAnswer(status: Int, reason: String, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            statusOf(status, reason),
            Unpooled.wrappedBuffer(body),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
        )
        if (!encoder.isHeadRequest) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        markConnectionClose(headers)
        if (!chargeWholeAnswer(body.size.toLong())) return abortWithoutMemory()
        writeLast(response)
        finishExchange()
    }

    /** Charges an answer until it is written. */
    private fun chargeWholeAnswer(bytes: Long): Boolean {
        if (bytes <= UNCHARGED_ANSWER_BYTES) return true
        val isCharged = account.charge(MemoryClass.ANSWERS, bytes)
        if (isCharged) wholeAnswerBytes += bytes
        return isCharged
    }

    override fun startAnswer(status: Int, reason: String, headers: HttpHeaders) {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markConnectionClose(headers)
        context.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, statusOf(status, reason), headers))
    }

    private fun markConnectionClose(headers: HttpHeaders) {
        // A request that was read behind this one would be cut off by the end of the connection.
        val isMovable = isKeepAlive && pipelined.isEmpty()
        if (environment.isDraining || isMovable && environment.takeCallerMove()) isKeepAlive = false
        if (!isKeepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    override fun chargeAnswer(bytes: Int): Boolean {
        val isCharged = account.charge(MemoryClass.ANSWERS, bytes.toLong())
        if (isCharged) bufferedAnswerBytes += bytes
        return isCharged
    }

    override fun writeBody(part: ByteBuf): Boolean {
        context.write(DefaultHttpContent(part))
        val isWritable = context.channel().isWritable
        if (!isWritable) chargeUnsentBytes()
        return isWritable
    }

    /** A caller that reads fast enough holds no more than the write buffer, which is not charged. */
    private fun chargeUnsentBytes() {
        val unsent = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        val more = unsent - unsentBytes
        when {
            more <= 0 -> Unit
            account.charge(MemoryClass.ANSWERS, more) -> unsentBytes = unsent
            else -> context.executor().execute(::abortWithoutMemory)
        }
    }

    private fun releaseUnsentBytes() {
        if (unsentBytes == 0L) return
        account.recordProgress(unsentBytes)
        account.release(MemoryClass.ANSWERS, unsentBytes)
        unsentBytes = 0
    }

    override fun flush() {
        context.flush()
    }

    override fun endAnswer() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT)
        finishExchange()
    }

    private fun writeLast(message: HttpObject) {
        val ending = exchange
        val bytes = wholeAnswerBytes
        wholeAnswerBytes = 0
        context.writeAndFlush(message).addListener { write ->
            releaseWholeAnswer(bytes)
            write.cause()?.let { ending?.recordCut(CutCause.WRITE_FAILED, nameOf(it)) }
        }
    }

    private fun releaseWholeAnswer(bytes: Long) {
        if (bytes == 0L) return
        account.recordProgress(bytes)
        account.release(MemoryClass.ANSWERS, bytes)
    }

    override fun abort() {
        isClosing = true
        exchange = null
        context.close()
    }

    /** Closes the connection after the answer, or continues with pipelined requests. */
    private fun finishExchange() {
        exchange = null
        requestReader?.release()
        requestReader = null
        servedReader?.release()
        servedReader = null
        account.release(MemoryClass.ANSWERS, bufferedAnswerBytes)
        bufferedAnswerBytes = 0
        lastActivityAt = System.nanoTime()
        if (isKeepAlive) {
            context.executor().execute(::readPipelined)
        } else {
            isClosing = true
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun readPipelined() {
        while (exchange == null && pipelined.isNotEmpty() && !isClosing) {
            val message = pipelined.removeFirst()
            account.release(MemoryClass.BODIES, contentBytes(message))
            readMessage(message)
        }
        if (pipelined.size < MAXIMUM_PIPELINED_OBJECTS) context.channel().config().isAutoRead = true
        if (environment.isClosingIdle) closeIfIdle()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isWritable) return
        releaseUnsentBytes()
        exchange?.resumeReading()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        failure = cause
        ctx.close()
        restartIfHeapIsExhausted(cause)
    }

    private companion object {
        /** Memory without progress is taken away after half a second, so a later try finds room. */
        const val RETRY_MILLIS = 1_000L
        const val RETRY_SECONDS = "1"

        /** Smaller answers fit into the write buffer of a connection, which is not charged. */
        const val UNCHARGED_ANSWER_BYTES = 16 * 1024L

        const val NANOS_PER_MILLI = 1_000_000L

        /** A whole request may take this many times the header timeout, since its body takes longer than its head. */
        const val REQUEST_TIMEOUT_FACTOR = 2
    }
}

private fun cutCauseOf(failure: Throwable): CutCause =
    if (failure is IOException) CutCause.CALLER_RESET else CutCause.INTERNAL_ERROR

private fun nameOf(failure: Throwable): String = failure.javaClass.simpleName
