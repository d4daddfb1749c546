/**
 * HTTP server for the internal interfaces of a process. Requests and answers are buffered completely, and charged to
 * the memory budget of the process. Answers to pipelined requests wait for those of earlier requests.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.ReadTimeoutHandler
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.runtime.api.ChargedBody
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.MemoryAccount
import org.ibismoor.runtime.api.MemoryBudget

private const val MAXIMUM_HEADER_BYTES = 8 * 1024
private const val MAXIMUM_BODY_BYTES = 32 * 1024 * 1024
private const val READ_TIMEOUT_SECONDS = 30

/** Requests of one connection that are handled at the same time; reading from it stops at this number. */
private const val MAXIMUM_PENDING_ANSWERS = 16

/** The bytes of a body, its text, and the values that are read from it. */
private const val COPIES_OF_BODY = 3

/** Listens on [address] and serves [handler]. Throws `IOException` if the address cannot be used. */
internal fun serveSimple(
    group: EventLoopGroup,
    address: ListenAddress,
    memory: MemoryBudget = createProcessMemory(),
    handler: SimpleHandler,
): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val account = memory.open { channel.eventLoop().execute { channel.close() } }
                    channel.pipeline().addLast(
                        ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                        StrictRequestDecoder(MAXIMUM_HEADER_BYTES, account),
                        HttpResponseEncoder(),
                        SimpleConnection(handler, account),
                    )
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

/** A request while it is read. */
private class PartialRequest(val head: HttpRequest, val body: ChargedBody)

/** A request that was read; [answer] is null until its handler has completed. */
private class PendingAnswer(
    val isKeepAlive: Boolean,
    val isHead: Boolean,
    val headBytes: Long = 0,
    val body: ChargedBody? = null,
    var answer: SimpleAnswer? = null,
)

@Suppress("TooManyFunctions") // one function for each step of a request and event of a channel
private class SimpleConnection(private val handler: SimpleHandler, private val account: MemoryAccount) :
    SimpleChannelInboundHandler<HttpObject>() {
    /** In the order of the requests; confined to the event loop. */
    private val pendingAnswers = ArrayDeque<PendingAnswer>()
    private var partial: PartialRequest? = null

    /** True once a request was refused: what follows on the connection is not read. */
    private var isClosing = false

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return
        val failure = message.decoderResult().cause()
        when {
            failure is MemoryRefusedException -> refuse(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE)
            failure != null -> refuse(ctx, HttpResponseStatus.BAD_REQUEST)
            else -> read(ctx, message)
        }
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) startRequest(ctx, message)
        val request = partial ?: return
        if (message is HttpContent) request.body.addBuffer(message.content())
        when (request.body.refusal) {
            ChargedBody.Refusal.TOO_LARGE -> refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            ChargedBody.Refusal.NO_MEMORY -> refuse(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE)
            null -> if (message is LastHttpContent) finishRequest(ctx, request)
        }
    }

    private fun startRequest(ctx: ChannelHandlerContext, head: HttpRequest) {
        val length = HttpUtil.getContentLength(head, UNKNOWN_LENGTH).takeIf { it != UNKNOWN_LENGTH }
        val body = ChargedBody(
            account,
            length?.coerceAtMost(Int.MAX_VALUE.toLong())?.toInt(),
            MAXIMUM_BODY_BYTES,
            COPIES_OF_BODY,
        )
        partial = PartialRequest(head, body)
        if (body.refusal == null && HttpUtil.is100ContinueExpected(head)) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun finishRequest(ctx: ChannelHandlerContext, request: PartialRequest) {
        val body = request.body.take()
        if (body == null) refuse(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE) else handle(ctx, request, body)
    }

    private fun handle(ctx: ChannelHandlerContext, request: PartialRequest, body: ByteArray) {
        partial = null
        account.markServed()
        val head = request.head
        val pending = PendingAnswer(
            isKeepAlive = HttpUtil.isKeepAlive(head),
            isHead = head.method() == HttpMethod.HEAD,
            headBytes = (head.headers() as? ChargedHeaders)?.chargedBytes ?: 0,
            body = request.body,
        )
        pendingAnswers += pending
        updateReading(ctx)
        val target = QueryStringDecoder(head.uri())
        val query = target.parameters().mapValues { (_, values) -> values.first() }
        val call = SimpleRequest(head.method().name(), target.path(), query, body.decodeToString())
        handler.handle(call).whenComplete { answer, failure ->
            val result = if (failure == null) answer else SimpleAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR.code())
            ctx.executor().execute { complete(ctx, pending, result) }
        }
    }

    /** Such a request was not handled. The connection ends, since the rest of the request may still follow. */
    private fun refuse(ctx: ChannelHandlerContext, status: HttpResponseStatus) {
        isClosing = true
        partial?.body?.release()
        partial = null
        val pending = PendingAnswer(isKeepAlive = false, isHead = false)
        pendingAnswers += pending
        complete(ctx, pending, SimpleAnswer(status.code()))
    }

    private fun complete(ctx: ChannelHandlerContext, pending: PendingAnswer, answer: SimpleAnswer) {
        pending.answer = answer
        var next = pendingAnswers.firstOrNull()
        while (next != null) {
            val ready = next.answer
            if (ready != null) {
                write(ctx, ready, next)
                pendingAnswers.removeFirst()
            }
            next = pendingAnswers.firstOrNull().takeIf { ready != null }
        }
        updateReading(ctx)
    }

    private fun write(ctx: ChannelHandlerContext, answer: SimpleAnswer, pending: PendingAnswer) {
        pending.body?.release()
        account.release(MemoryClass.HEADS, pending.headBytes)
        val status = HttpResponseStatus.valueOf(answer.status)
        val compressed = answer.compressedBody
        val body = Unpooled.wrappedBuffer(compressed?.bytes ?: answer.body.encodeToByteArray())
        val bytes = body.readableBytes().toLong()
        // The request may have run, so nothing is promised to a caller whose answer has no room.
        if (!account.charge(MemoryClass.ANSWERS, bytes)) {
            ctx.close()
            return
        }
        val sentBody = if (pending.isHead) Unpooled.EMPTY_BUFFER else body
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, sentBody)
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        if (compressed != null) headers.set(HttpHeaderNames.CONTENT_ENCODING, HttpHeaderValues.GZIP)
        if (body.isReadable) headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
        answer.location?.let { headers.set(HttpHeaderNames.LOCATION, it) }
        if (!pending.isKeepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        written.addListener {
            account.recordProgress(bytes)
            account.release(MemoryClass.ANSWERS, bytes)
        }
        if (!pending.isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) = updateReading(ctx)

    /** A caller that does not read its answers must not make the process hold more and more of them. */
    private fun updateReading(ctx: ChannelHandlerContext) {
        ctx.channel().config().isAutoRead = ctx.channel().isWritable && pendingAnswers.size < MAXIMUM_PENDING_ANSWERS
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        partial = null
        account.close()
        ctx.fireChannelInactive()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
        restartIfHeapIsExhausted(cause)
    }

    private companion object {
        const val UNKNOWN_LENGTH = -1L
    }
}
