/**
 * The traffic side of a router: listens for callers, keeps their exchanges and performs the effects of decisions. All
 * state is confined to the traffic thread.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.forwarding.api.CancelAttempt
import org.ibismoor.forwarding.api.ForwardFailure
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.api.HttpDialect
import org.ibismoor.gateway.internal.net.AnswerEncoder
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.StrictRequestDecoder
import org.ibismoor.gateway.internal.net.serverBootstrap
import org.ibismoor.runtime.api.ListenAddress
import java.util.concurrent.TimeUnit

private const val SWEEP_MILLIS = 1_000L

@Suppress("TooManyFunctions") // it is the environment of exchanges and the intake of connections
internal class RouterTraffic(
    private val group: EventLoopGroup,
    override val pool: ClientPool,
    override val dialect: HttpDialect,
    override val meters: RouterMeters,
    private val decisions: (ForwardingMessage) -> Unit,
) : ExchangeEnvironment, Intake {
    override val allocator: ByteBufAllocator = UnpooledByteBufAllocator.DEFAULT
    override val traffic: EventLoop = group.next()
    private val exchanges = HashMap<RequestNumber, Exchange>()
    private val connections = HashSet<CallerConnection>()
    private var nextNumber = 1L
    private var server: Channel? = null

    @Volatile
    override var limits: CallerLimits = CallerLimits()

    @Volatile
    override var isDraining: Boolean = false

    val isIdle: Boolean get() = exchanges.isEmpty()

    /** Listens on [address]. Throws `IOException` if it cannot be used. */
    fun listen(address: ListenAddress) {
        server = serverBootstrap(group)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val encoder = AnswerEncoder()
                        val connection = CallerConnection(encoder, this@RouterTraffic)
                        channel.pipeline().addLast(StrictRequestDecoder(limits.headerBytes), encoder, connection)
                    }
                },
            )
            .bind(address.host, address.port).sync().channel()
        traffic.scheduleAtFixedRate(::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
    }

    fun stopListening() {
        server?.close()
    }

    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }

    private fun sweep() {
        pool.sweep()
        val now = System.nanoTime()
        connections.toList().forEach { it.checkIdle(now) }
    }

    fun perform(effects: List<ForwardingEffect>) = effects.forEach(::perform)

    private fun perform(effect: ForwardingEffect) {
        when (effect) {
            is SendAttempt -> exchanges[effect.number]?.send(effect)
            is RefuseRequest -> exchanges[effect.number]?.refuse(effect)
            is ForwardFailure -> exchanges[effect.number]?.giveFailure()
            is CancelAttempt -> exchanges[effect.number]?.close()
            else -> Unit
        }
    }

    override fun post(message: ForwardingMessage) = decisions(message)

    override fun ended(exchange: Exchange) {
        exchanges.remove(exchange.number)
    }

    override fun opened(connection: CallerConnection) {
        connections += connection
    }

    override fun closed(connection: CallerConnection) {
        connections -= connection
    }

    override fun begin(request: ReceivedRequest, caller: CallerSide): Exchange {
        val number = RequestNumber(nextNumber++)
        val exchange = Exchange(number, request, caller, this)
        exchanges[number] = exchange
        val fields = request.fields
        val head = RequestHead(
            fields.callId,
            request.host,
            request.path,
            fields.key,
            fields.deadlineMillis,
            fields.prompt,
        )
        post(RequestArrived(number, head))
        return exchange
    }

    override fun rejected(problem: RequestProblem) = meters.rejected(problem)
}
