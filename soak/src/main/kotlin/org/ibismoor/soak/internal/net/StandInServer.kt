/**
 * HTTP listeners of the stand-ins. Requests are read as a whole.
 */
package org.ibismoor.soak.internal.net

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import org.ibismoor.soak.internal.Endpoint

private const val MAXIMUM_REQUEST_BYTES = 1024 * 1024
private const val ACCEPT_BACKLOG = 512

/** Listens on the private address of [endpoint]; each connection gets the handler that [createHandler] makes. */
internal fun listenForRequests(
    group: EventLoopGroup,
    endpoint: Endpoint,
    createHandler: () -> ChannelHandler,
): ChannelFuture =
    listen(group, endpoint.privateHost, endpoint.port) { channel ->
        channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_REQUEST_BYTES), createHandler())
    }

internal fun listen(group: EventLoopGroup, host: String, port: Int, initialize: (Channel) -> Unit): ChannelFuture =
    ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = initialize(channel)
            },
        )
        .bind(host, port)

/** Closes [channel] with a reset in place of an orderly end. */
internal fun resetChannel(channel: Channel) {
    if (channel.isActive) channel.config().setOption(ChannelOption.SO_LINGER, 0)
    channel.close()
}
