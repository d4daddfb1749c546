/**
 * Connections of the upstreams' stand-ins. It reports attempts to the control thread and writes what that decides. All
 * state is confined to the single traffic thread.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.ibismoor.platform.api.PlatformFields
import org.ibismoor.platform.api.UpstreamAnswerFields
import org.ibismoor.soak.api.SoakAttemptId
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.world.AttemptAbandoned
import org.ibismoor.soak.internal.world.AttemptArrived
import org.ibismoor.soak.internal.world.CloseConnection
import org.ibismoor.soak.internal.world.PlainAnswer
import org.ibismoor.soak.internal.world.SoakMessage
import org.ibismoor.soak.internal.world.StreamEnd
import org.ibismoor.soak.internal.world.StreamHead
import org.ibismoor.soak.internal.world.StreamPart
import org.ibismoor.soak.internal.world.UpstreamOutput

internal class UpstreamTraffic(
    private val group: EventLoopGroup,
    private val layout: FleetLayout,
    private val fields: PlatformFields,
    private val post: (SoakMessage) -> Unit,
) {
    private val listeners = HashMap<String, Channel>()
    private val connections = HashMap<String, HashSet<Channel>>()
    private val openAttempts = HashMap<SoakAttemptId, Channel>()
    private var attempts = 0

    fun open(slot: String) = group.execute {
        val endpoint = layout.endpointOf(layout.upstreams.first { it.slot == slot })
        val bound = listenForRequests(group, endpoint) { UpstreamConnection(slot) }
        listeners.put(slot, bound.channel())?.close()
    }

    fun close(slot: String) = group.execute {
        listeners.remove(slot)?.close()
        connections.remove(slot)?.toList()?.forEach(::resetChannel)
    }

    fun write(attempt: SoakAttemptId, output: UpstreamOutput) = group.execute {
        val channel = openAttempts[attempt]
        if (channel != null) writeTo(channel, attempt, output)
    }

    private fun writeTo(channel: Channel, attempt: SoakAttemptId, output: UpstreamOutput) {
        if (output !is StreamHead && output !is StreamPart) openAttempts.remove(attempt)
        when (output) {
            is PlainAnswer -> repeat(output.copies) { channel.writeAndFlush(plainResponse(output)) }
            is StreamHead -> channel.writeAndFlush(streamResponse(output.fields))
            is StreamPart -> channel.writeAndFlush(DefaultHttpContent(bufferOf(output.text)))
            is StreamEnd -> channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            is CloseConnection -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun bufferOf(text: String) = Unpooled.wrappedBuffer(text.encodeToByteArray())

    private fun plainResponse(answer: PlainAnswer): HttpResponse {
        val status = HttpResponseStatus.valueOf(answer.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bufferOf(answer.body))
        fields.writeAnswer(answer.fields, response.headers())
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        return response
    }

    private fun streamResponse(answer: UpstreamAnswerFields): HttpResponse {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        fields.writeAnswer(answer, response.headers())
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        HttpUtil.setTransferEncodingChunked(response, true)
        return response
    }

    private inner class UpstreamConnection(private val slot: String) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelActive(ctx: ChannelHandlerContext) {
            connections.getOrPut(slot) { HashSet() } += ctx.channel()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
            val attempt = fields.readAttempt(request.headers())
            if (attempt == null) {
                ctx.close()
                return
            }
            val id = SoakAttemptId("a${++attempts}")
            openAttempts[id] = ctx.channel()
            post(AttemptArrived(id, slot, request.uri(), attempt))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            connections[slot]?.remove(ctx.channel())
            val abandoned = openAttempts.filterValues { it == ctx.channel() }.keys
            abandoned.forEach { attempt ->
                openAttempts.remove(attempt)
                post(AttemptAbandoned(attempt))
            }
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
