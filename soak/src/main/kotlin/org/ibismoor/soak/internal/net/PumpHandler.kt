/**
 * Passes the events of one end of a proxied connection to the pump that reads from it.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

internal class PumpHandler(private val connection: ProxiedConnection, private val pump: Pump) :
    ChannelInboundHandlerAdapter() {
    override fun channelActive(ctx: ChannelHandlerContext) = connection.updateReading()

    /** The other pump writes to this channel. */
    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) = connection.updateReading()

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) = pump.read(message as ByteBuf)

    override fun channelInactive(ctx: ChannelHandlerContext) = pump.end()

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = connection.reset()
}
