/**
 * Pool of idle connections by server address, for use on the traffic thread only. A call without an idle connection
 * opens a new one. If that fails, the call is reported as not sent.
 */
package org.ibismoor.gateway.internal.net

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.InetSocketAddress

private const val CONNECT_TIMEOUT_MILLIS = 300
private const val MAXIMUM_IDLE_PER_ADDRESS = 64
private const val MAXIMUM_PORT = 65_535
private const val ANY_PORT = 0

/** Connections leave from [localHost]; null lets the operating system choose. */
internal class ClientPool(group: EventLoopGroup, localHost: String? = null) {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()
    private val bootstrap = clientBootstrap(group, CONNECT_TIMEOUT_MILLIS).handler(
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpRequestEncoder())
            }
        },
    ).also { client -> localHost?.let { client.localAddress(InetSocketAddress(it, ANY_PORT)) } }

    /** Sends [call] and passes the answer to [listener]. The returned handle can cancel the call. */
    fun send(call: HttpCall, listener: AnswerListener): PendingCall {
        val pending = PendingCall(call, listener)
        val free = takeIdle(call.address)
        if (free != null) pending.sendOn(free) else connect(call.address, pending)
        return pending
    }

    private fun takeIdle(address: String): ClientConnection? {
        val queue = idle[address] ?: return null
        while (queue.isNotEmpty() && !queue.last().isUsable()) queue.removeLast().closeIdle()
        return queue.removeLastOrNull()
    }

    private fun connect(address: String, pending: PendingCall) {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toIntOrNull()
        if (port == null || port !in 1..MAXIMUM_PORT) {
            pending.fail("bad_address")
            return
        }
        bootstrap.connect(host, port).addListener { future ->
            val channel = (future as ChannelFuture).channel()
            when {
                !future.isSuccess -> pending.fail("connect")
                pending.isEnded -> channel.close()
                else -> pending.sendOn(createConnection(channel, address))
            }
        }
    }

    private fun createConnection(channel: Channel, address: String): ClientConnection {
        val decoder = AnswerDecoder()
        val connection = ClientConnection(channel, decoder, this, address)
        channel.pipeline().addLast(decoder, connection)
        return connection
    }

    fun release(connection: ClientConnection) {
        val queue = idle.getOrPut(connection.address) { ArrayDeque() }
        if (queue.size < MAXIMUM_IDLE_PER_ADDRESS) queue.addLast(connection) else connection.closeIdle()
    }

    fun remove(connection: ClientConnection) {
        idle[connection.address]?.remove(connection)
    }

    /** Closes idle connections that can no longer be reused, to free their file descriptors. */
    fun closeExpired() {
        val entries = idle.entries.iterator()
        while (entries.hasNext()) {
            val queue = entries.next().value
            val expired = queue.filterNot { it.isUsable() }
            queue.removeAll(expired)
            expired.forEach { it.closeIdle() }
            if (queue.isEmpty()) entries.remove()
        }
    }
}
