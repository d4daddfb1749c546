/**
 * The event loop group of a process, which has one thread, and the channel options that all connections share.
 */
package org.ibismoor.gateway.internal.net

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory
import jdk.net.ExtendedSocketOptions

private const val ACCEPT_BACKLOG = 1_024

/** TCP keep-alive: idle time before the first probe, time between probes, and unanswered probes until the reset. */
private const val KEEP_ALIVE_IDLE_SECONDS = 2
private const val KEEP_ALIVE_INTERVAL_SECONDS = 1
private const val KEEP_ALIVE_PROBES = 2

/** Sets a fixed machine ID, since Netty otherwise searches the network interfaces for a hardware address at start. */
internal fun createTrafficThread(): EventLoopGroup {
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01")
    return NioEventLoopGroup(1, DefaultThreadFactory("traffic", true))
}

internal fun serverBootstrap(group: EventLoopGroup): ServerBootstrap =
    ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)

/** Keep-alive probes detect a connection to a VM that is partitioned or unreachable. */
internal fun clientBootstrap(group: EventLoopGroup, connectTimeoutMillis: Int): Bootstrap =
    Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
