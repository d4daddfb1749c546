/**
 * The traffic side of a router: accepts callers' connections, holds their exchanges and performs the effects of the
 * control thread. All state is confined to the traffic thread.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.forwarding.api.CallerMoves
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
import org.ibismoor.gateway.internal.net.createProcessMemory
import org.ibismoor.gateway.internal.net.serverBootstrap
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.MemoryBudget
import org.ibismoor.runtime.api.performEach
import java.util.concurrent.TimeUnit

private const val EXPIRY_CHECK_MILLIS = 1_000L
private const val SMALLEST_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2 * 1024
private const val LARGEST_READ_BYTES = 16 * 1024

@Suppress("TooManyFunctions", "LongParameterList") // it is the environment of exchanges and of caller connections
internal class RouterTraffic(
    private val group: EventLoopGroup,
    override val pool: ClientPool,
    override val dialect: HttpDialect,
    override val meters: RouterMeters,
    override val cuts: CutAnswerRecorder,
    override val memory: MemoryBudget = createProcessMemory(),
    private val reportFailure: (ForwardingEffect, Throwable) -> Unit = { _, _ -> },
    private val postMessage: (ForwardingMessage) -> Unit,
) : ExchangeEnvironment, ConnectionEnvironment {
    override val allocator: ByteBufAllocator = UnpooledByteBufAllocator.DEFAULT
    override val eventLoop: EventLoop = group.next()

    /** A connection may hold one read that was not decoded yet; reads of 64 KiB by 400 callers exceed direct memory. */
    private val readSizes = AdaptiveRecvByteBufAllocator(SMALLEST_READ_BYTES, FIRST_READ_BYTES, LARGEST_READ_BYTES)
    private val exchanges = HashMap<RequestNumber, Exchange>()
    private val connections = HashSet<CallerConnection>()
    private var nextNumber = 1L
    private var moves = CallerMoves()
    private var server: Channel? = null

    @Volatile
    override var limits: CallerLimits = CallerLimits()

    @Volatile
    var movesPerSecond: Int = 0

    @Volatile
    override var isDraining: Boolean = false

    override var isClosingIdle: Boolean = false
        private set

    /** True while a caller is connected. Its connection may have a request that is still read or an unsent answer. */
    @Volatile
    var hasConnections: Boolean = false
        private set

    /** Bytes of answers that wait to be written. */
    val pendingBytes: Long get() = connections.sumOf { it.pendingBytes }

    /** Open connections of callers, and one to an upstream for each exchange. */
    val descriptors: Int get() = connections.size + exchanges.size

    /** Listens on [address]. Throws `IOException` if it cannot be used. */
    fun listen(address: ListenAddress) {
        server = serverBootstrap(group)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, readSizes)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val encoder = AnswerEncoder()
                        lateinit var connection: CallerConnection
                        val account = memory.open { channel.eventLoop().execute { connection.evict() } }
                        connection = CallerConnection(encoder, account, this@RouterTraffic)
                        val decoder = StrictRequestDecoder(limits.headerBytes, account, limits.headerLines)
                        channel.pipeline().addLast(decoder, encoder, connection)
                    }
                },
            )
            .bind(address.host, address.port).sync().channel()
        val interval = EXPIRY_CHECK_MILLIS
        eventLoop.scheduleAtFixedRate(::closeExpiredConnections, interval, interval, TimeUnit.MILLISECONDS)
    }

    fun stopListening() {
        server?.close()
    }

    /** Closes idle connections, and every other one as soon as it is idle. */
    fun closeIdle() {
        isClosingIdle = true
        connections.toList().forEach { it.closeIfIdle() }
    }

    /** Records the requests that the end of the process cuts off. */
    fun recordOpenExchanges() {
        exchanges.values.forEach { it.recordCut(CutCause.PROCESS_STOPPED) }
    }

    private fun closeExpiredConnections() {
        pool.closeExpired()
        val now = System.nanoTime()
        connections.toList().forEach { it.checkIdle(now) }
    }

    /** Each effect belongs to another request, so one that throws must not drop those behind it. */
    fun perform(effects: List<ForwardingEffect>) = performEach(effects, reportFailure, ::perform)

    private fun perform(effect: ForwardingEffect) {
        when (effect) {
            is SendAttempt -> exchanges[effect.number]?.send(effect)
            is RefuseRequest -> exchanges[effect.number]?.refuse(effect)
            is ForwardFailure -> exchanges[effect.number]?.forwardFailure()
            is CancelAttempt -> exchanges[effect.number]?.close()
            else -> Unit
        }
    }

    override fun post(message: ForwardingMessage) = postMessage(message)

    override fun removeExchange(exchange: Exchange) {
        exchanges.remove(exchange.number)
    }

    override fun registerConnection(connection: CallerConnection) {
        connections += connection
        hasConnections = true
    }

    override fun unregisterConnection(connection: CallerConnection) {
        connections -= connection
        hasConnections = connections.isNotEmpty()
    }

    override fun startExchange(request: ReceivedRequest, output: AnswerSink): Exchange {
        val number = RequestNumber(nextNumber++)
        val exchange = Exchange(number, request, output, this)
        exchanges[number] = exchange
        val fields = request.fields
        val head = RequestHead(
            fields.callId,
            request.host,
            request.path,
            fields.key,
            fields.deadlineMillis,
            fields.prompt,
            request.digest(),
            fields.continuation,
            request.body.size.toLong(),
        )
        post(RequestArrived(number, head))
        return exchange
    }

    override fun takeCallerMove(): Boolean {
        val next = moves.withMove(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), movesPerSecond)
        if (next != null) {
            moves = next
            meters.countMovedCaller()
        }
        return next != null
    }

    override fun countRejection(problem: RequestProblem) = meters.countRejection(problem)
}
