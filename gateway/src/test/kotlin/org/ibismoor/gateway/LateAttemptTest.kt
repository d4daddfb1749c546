/**
 * Attempts that start late, after a stall of the router process, for callers that have left in the meantime.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.router.AnswerSink
import org.ibismoor.gateway.internal.router.CutAnswerRecorder
import org.ibismoor.gateway.internal.router.CutCause
import org.ibismoor.gateway.internal.router.Exchange
import org.ibismoor.gateway.internal.router.ExchangeEnvironment
import org.ibismoor.gateway.internal.router.ReceivedRequest
import org.ibismoor.gateway.internal.router.RouterMeters
import java.util.concurrent.TimeUnit

private const val STALL_MILLIS = 150L
private const val SETTLED_MILLIS = 300L

class LateAttemptTest : StringSpec({
    "a late attempt is not sent if the close of the caller's connection is read next" {
        // Guards against requests that reach upstreams long after their callers have left, since a stalled router sends
        // what it has read before it reads that the callers have gone.
        RawUpstream { request, output, _ ->
            output.write(plainAnswer(request, "done", "Keep-Alive: timeout=9\r\n"))
        }.use { upstream ->
            val environment = LateEnvironment()
            environment.run { environment.exchange().send(attemptAt(upstream)) }
            waitUntil { environment.messages.isNotEmpty() }
            val exchange = environment.exchange()
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS)
            environment.run {
                environment.eventLoop.execute { exchange.handleCallerDisconnect(CutCause.CALLER_CLOSED) }
                exchange.send(attemptAt(upstream))
            }
            TimeUnit.MILLISECONDS.sleep(SETTLED_MILLIS)
            upstream.requests shouldHaveSize 1
            environment.close()
        }
    }

    "a late attempt is sent for a caller that stays" {
        RawUpstream { request, output, _ -> output.write(plainAnswer(request, "done")) }.use { upstream ->
            val environment = LateEnvironment()
            val exchange = environment.exchange()
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS)
            environment.run { exchange.send(attemptAt(upstream)) }
            waitUntil { environment.messages.isNotEmpty() }
            upstream.requests shouldHaveSize 1
            environment.close()
        }
    }
})

private fun attemptAt(upstream: RawUpstream): SendAttempt =
    SendAttempt(
        number = RequestNumber(1),
        attempt = 1,
        upstream = UpstreamEntry(UpstreamId("u"), WORKERS, upstream.address, FailureDomainId("north"), 4, false, 0),
        terms = AttemptTerms(null, 0, remainingMillis = 3_000, isStream = false, null, null, maximumConnections = 4),
    )

private class LateEnvironment : ExchangeEnvironment {
    private val group = createTrafficThread()
    override val allocator = UnpooledByteBufAllocator.DEFAULT
    override val dialect = TestDialect
    override val pool = ClientPool(group, null)
    override val eventLoop: EventLoop = group.next() as EventLoop
    override val meters = RouterMeters({ error("tables are not read") }, { 0L })
    override val cuts = CutAnswerRecorder { }

    @Volatile
    var messages = emptyList<ForwardingMessage>()

    override fun post(message: ForwardingMessage) {
        messages = messages + message
    }

    override fun removeExchange(exchange: Exchange) = Unit

    fun exchange(): Exchange {
        val headers = DefaultHttpHeaders().add("Call-Id", "c1")
        val fields = checkNotNull(dialect.readRequestFields(headers))
        val request = ReceivedRequest(HttpMethod.POST, "/once/1", "desk.example", headers, fields, ByteArray(0))
        return Exchange(RequestNumber(1), request, DiscardingSink, this)
    }

    /** Runs [work] as one task of the traffic thread. */
    fun run(work: () -> Unit) {
        eventLoop.submit(work).sync()
    }

    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}

private object DiscardingSink : AnswerSink {
    override fun sendAnswer(status: Int, reason: String, headers: HttpHeaders, body: ByteArray) = Unit

    override fun startAnswer(status: Int, reason: String, headers: HttpHeaders) = Unit

    override fun writeBody(part: ByteBuf): Boolean = part.release()

    override fun flush() = Unit

    override fun endAnswer() = Unit

    override fun abort() = Unit
}
