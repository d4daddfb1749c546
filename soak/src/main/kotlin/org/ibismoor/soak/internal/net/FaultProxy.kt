/**
 * Forwards connections from the public address of each endpoint to its private one, and disturbs those that a link
 * fault names. It tells sources apart by the local address of their connections. All state is confined to the single
 * traffic thread.
 */
package org.ibismoor.soak.internal.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.socket.nio.NioSocketChannel
import org.ibismoor.soak.internal.Endpoint
import org.ibismoor.soak.internal.schedule.DisturbLink
import org.ibismoor.soak.internal.schedule.Disturbance
import java.net.InetSocketAddress

private const val READ_BYTES = 4 * 1024
private const val CONNECT_TIMEOUT_MILLIS = 1_000

internal class FaultProxy(private val group: EventLoopGroup, private val hostNameOf: (address: String) -> String?) {
    private var faults: List<DisturbLink> = emptyList()
    private val connections = HashSet<ProxiedConnection>()

    fun open(endpoint: Endpoint): ChannelFuture =
        listen(group, endpoint.publicHost, endpoint.port) { front ->
            front.config().isAutoRead = false
            front.config().setRecvByteBufAllocator(FixedRecvByteBufAllocator(READ_BYTES))
            val source = hostNameOf((front.remoteAddress() as InetSocketAddress).address.hostAddress)
            accept(ProxiedConnection(source, endpoint.hostName, front) { connections -= it }, endpoint)
        }

    /** Replaces the link faults. Open connections are affected too. */
    fun apply(links: List<DisturbLink>) = group.execute {
        val begun = links - faults.toSet()
        faults = links
        connections.toList().forEach { connection ->
            connection.begin(disturbancesOf(connection, begun))
            connection.apply(disturbancesOf(connection, faults))
        }
    }

    /** A VM reaches itself whatever happens to its links. */
    private fun disturbancesOf(connection: ProxiedConnection, links: List<DisturbLink>): Set<Disturbance> =
        links.filter { it.target == connection.target && connection.source != connection.target }
            .filter { it.source == null || it.source == connection.source }
            .map { it.disturbance }.toSet()

    private fun accept(connection: ProxiedConnection, endpoint: Endpoint) {
        val disturbances = disturbancesOf(connection, faults)
        if (Disturbance.RESET in disturbances) return resetChannel(connection.front)
        connections += connection
        connection.apply(disturbances)
        connection.installFront()
        backBootstrap(connection).connect(endpoint.privateHost, endpoint.port).addListener { future ->
            if (!future.isSuccess) connection.reset()
        }
    }

    private fun backBootstrap(connection: ProxiedConnection): Bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES))
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = connection.installBack(channel)
                },
            )
}
