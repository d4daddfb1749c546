/**
 * Resources and operations of the router process that exchanges use.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBufAllocator
import io.netty.channel.EventLoop
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.gateway.internal.net.ClientPool

internal interface ExchangeEnvironment {
    val allocator: ByteBufAllocator
    val dialect: HttpDialect
    val pool: ClientPool
    val eventLoop: EventLoop
    val meters: RouterMeters
    val cuts: CutAnswerRecorder

    /** Queues [message] for the control thread. */
    fun post(message: ForwardingMessage)

    fun removeExchange(exchange: Exchange)
}
