/**
 * HTTP client of callers and the operator. Each of them has one connection, which it keeps open between requests.
 */
package org.ibismoor.soak.internal.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val CONNECT_TIMEOUT_MILLIS = 1_000
private const val MAXIMUM_LINE_BYTES = 4_096
private const val MAXIMUM_HEADER_BYTES = 16_384
private const val MAXIMUM_CHUNK_BYTES = 65_536

internal data class ClientRequest(
    /** Owner of the connection. */
    val owner: String,
    val address: String,
    val method: HttpMethod,
    val path: String,
    val headers: HttpHeaders,
    val body: String = "",
    val timeoutMillis: Long,
    val isNewConnection: Boolean = false,
)

/** [status] and [headers] are null if the connection failed before the head of the answer. */
internal class ClientResult(
    val status: Int?,
    val headers: HttpHeaders?,
    val body: ByteArray,
    val isComplete: Boolean,
    val isTimedOut: Boolean,
    val isConnectionOpen: Boolean,
)

internal class TrafficClient(private val group: EventLoopGroup, private val localHost: String) {
    /** Confined to the single traffic thread. */
    private val connections = HashMap<String, OpenConnection>()

    private class OpenConnection(val address: String, val channel: Channel, val exchange: ClientExchange)

    /** Calls [onEnd] once, on the traffic thread. */
    fun send(request: ClientRequest, onEnd: (ClientResult) -> Unit) = group.execute { start(request, onEnd) }

    private fun start(request: ClientRequest, onEnd: (ClientResult) -> Unit) {
        val open = connections[request.owner]
        val isReusable = open != null && open.address == request.address && !request.isNewConnection &&
            open.channel.isActive && open.exchange.isIdle
        if (open != null && isReusable) {
            run(open, request, onEnd)
        } else {
            open?.channel?.close()
            connect(request, onEnd)
        }
    }

    private fun connect(request: ClientRequest, onEnd: (ClientResult) -> Unit) {
        val exchange = ClientExchange()
        val host = request.address.substringBeforeLast(':')
        val port = request.address.substringAfterLast(':').toInt()
        clientBootstrap(exchange).connect(InetSocketAddress(host, port), InetSocketAddress(localHost, 0))
            .addListener { future ->
                val open = OpenConnection(request.address, (future as ChannelFuture).channel(), exchange)
                if (future.isSuccess) {
                    connections[request.owner] = open
                    run(open, request, onEnd)
                } else {
                    onEnd(failedConnection)
                }
            }
    }

    private fun clientBootstrap(exchange: ClientExchange): Bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val codec = HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES)
                        channel.pipeline().addLast(codec, exchange)
                    }
                },
            )

    private fun run(open: OpenConnection, request: ClientRequest, onEnd: (ClientResult) -> Unit) {
        val timeout = group.schedule({ open.exchange.giveUp() }, request.timeoutMillis, TimeUnit.MILLISECONDS)
        open.exchange.start(open.channel, request) {
            timeout.cancel(false)
            onEnd(it)
        }
    }

    private val failedConnection = ClientResult(
        status = null,
        headers = null,
        body = ByteArray(0),
        isComplete = false,
        isTimedOut = false,
        isConnectionOpen = false,
    )
}
