/**
 * HTTP server for the internal interfaces of a process. Requests and answers are buffered completely. Answers to
 * pipelined requests wait for those of earlier requests.
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
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.ReadTimeoutHandler
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.runtime.api.ListenAddress

private const val MAXIMUM_HEADER_BYTES = 8 * 1024
private const val MAXIMUM_BODY_BYTES = 32 * 1024 * 1024
private const val READ_TIMEOUT_SECONDS = 30
private const val STATUS_INTERNAL_ERROR = 500
private const val STATUS_BAD_REQUEST = 400

/** Listens on [address] and serves [handler]. Throws `IOException` if the address cannot be used. */
internal fun serveSimple(group: EventLoopGroup, address: ListenAddress, handler: SimpleHandler): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(
                        ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                        StrictRequestDecoder(MAXIMUM_HEADER_BYTES),
                        HttpResponseEncoder(),
                        HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                        SimpleConnection(handler),
                    )
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

/** A request that was read; [answer] is null until its handler has completed. */
private class PendingAnswer(val isKeepAlive: Boolean, val isHead: Boolean, var answer: SimpleAnswer? = null)

private class SimpleConnection(private val handler: SimpleHandler) : SimpleChannelInboundHandler<FullHttpRequest>() {
    /** In the order of the requests; confined to the event loop. */
    private val pendingAnswers = ArrayDeque<PendingAnswer>()

    override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpRequest) {
        val isReadable = message.decoderResult().isSuccess
        val isKeepAlive = HttpUtil.isKeepAlive(message) && isReadable
        val pending = PendingAnswer(isKeepAlive, isHead = message.method() == HttpMethod.HEAD)
        pendingAnswers += pending
        if (isReadable) handle(ctx, message, pending) else complete(ctx, pending, SimpleAnswer(STATUS_BAD_REQUEST))
    }

    private fun handle(ctx: ChannelHandlerContext, message: FullHttpRequest, pending: PendingAnswer) {
        val target = QueryStringDecoder(message.uri())
        val query = target.parameters().mapValues { (_, values) -> values.first() }
        val body = message.content().toString(Charsets.UTF_8)
        val request = SimpleRequest(message.method().name(), target.path(), query, body)
        handler.handle(request).whenComplete { answer, failure ->
            val result = if (failure == null) answer else SimpleAnswer(STATUS_INTERNAL_ERROR)
            ctx.executor().execute { complete(ctx, pending, result) }
        }
    }

    private fun complete(ctx: ChannelHandlerContext, pending: PendingAnswer, answer: SimpleAnswer) {
        pending.answer = answer
        while (true) {
            val first = pendingAnswers.firstOrNull() ?: return
            write(ctx, first.answer ?: return, first)
            pendingAnswers.removeFirst()
        }
    }

    private fun write(ctx: ChannelHandlerContext, answer: SimpleAnswer, pending: PendingAnswer) {
        val status = HttpResponseStatus.valueOf(answer.status)
        val compressed = answer.compressedBody
        val body = Unpooled.wrappedBuffer(compressed?.bytes ?: answer.body.encodeToByteArray())
        val sentBody = if (pending.isHead) Unpooled.EMPTY_BUFFER else body
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, sentBody)
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        if (compressed != null) headers.set(HttpHeaderNames.CONTENT_ENCODING, HttpHeaderValues.GZIP)
        if (body.isReadable) headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
        answer.location?.let { headers.set(HttpHeaderNames.LOCATION, it) }
        if (!pending.isKeepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        if (!pending.isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
