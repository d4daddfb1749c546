/**
 * The requests on one connection of a [TrafficClient], one at a time.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream

private const val MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

internal class ClientExchange : SimpleChannelInboundHandler<HttpObject>() {
    private var channel: Channel? = null
    private var onEnd: ((ClientResult) -> Unit)? = null
    private var head: HttpResponse? = null
    private val body = ByteArrayOutputStream()

    val isIdle: Boolean get() = onEnd == null

    fun start(channel: Channel, request: ClientRequest, onEnd: (ClientResult) -> Unit) {
        this.channel = channel
        this.onEnd = onEnd
        head = null
        body.reset()
        val content = Unpooled.wrappedBuffer(request.body.encodeToByteArray())
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.path, content)
        message.headers().set(request.headers)
        HttpUtil.setContentLength(message, content.readableBytes().toLong())
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, request.address)
        }
        channel.writeAndFlush(message)
    }

    /** Ends the request as timed out and closes the connection. */
    fun giveUp() = end(isComplete = false, isTimedOut = true)

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (onEnd == null || message.decoderResult().isFailure) {
            end(isComplete = false)
            ctx.close()
            return
        }
        if (message is HttpResponse) head = message
        if (message is HttpContent) readBody(message)
    }

    private fun readBody(content: HttpContent) {
        content.content().readBytes(body, content.content().readableBytes())
        when {
            body.size() > MAXIMUM_BODY_BYTES -> end(isComplete = false)
            content is LastHttpContent -> end(isComplete = true)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) = end(isComplete = false)

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        end(isComplete = false)
        ctx.close()
    }

    private fun end(isComplete: Boolean, isTimedOut: Boolean = false) {
        val listener = onEnd ?: return
        onEnd = null
        val isOpen = isComplete && channel?.isActive == true && head?.let(HttpUtil::isKeepAlive) == true
        if (!isOpen) channel?.close()
        listener(
            ClientResult(
                status = head?.status()?.code(),
                headers = head?.headers(),
                body = body.toByteArray(),
                isComplete = isComplete,
                isTimedOut = isTimedOut,
                isConnectionOpen = isOpen,
            ),
        )
    }
}
