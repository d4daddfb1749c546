/**
 * The platform's list of upstreams: serves the page that the control thread set last.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.ibismoor.soak.internal.Endpoint

internal class ListServer {
    @Volatile
    var page: String = ""

    fun listen(group: EventLoopGroup, endpoint: Endpoint): ChannelFuture =
        listenForRequests(group, endpoint) { ListConnection() }

    private inner class ListConnection : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
            val body = Unpooled.wrappedBuffer(page.encodeToByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body)
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            ctx.writeAndFlush(response)
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
