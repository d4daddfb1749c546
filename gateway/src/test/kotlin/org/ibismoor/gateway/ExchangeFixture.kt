/**
 * Runs exchanges without a control thread: the test sends the effects and reads the messages.
 */
package org.ibismoor.gateway

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
import org.ibismoor.gateway.internal.router.Exchange
import org.ibismoor.gateway.internal.router.ExchangeEnvironment
import org.ibismoor.gateway.internal.router.ReceivedRequest
import org.ibismoor.gateway.internal.router.RouterMeters
import java.util.concurrent.TimeUnit

internal fun attemptAt(
    address: String,
    attempt: Int = 1,
    silenceMillis: Long? = null,
    silence: Int? = null,
): SendAttempt =
    SendAttempt(
        number = RequestNumber(1),
        attempt = attempt,
        upstream = UpstreamEntry(UpstreamId("u$attempt"), WORKERS, address, FailureDomainId("north"), 4, false, 0),
        terms = AttemptTerms(null, 0, 3_000, isStream = false, silenceMillis, silenceMillis, maximumConnections = 4),
        silence = silence,
    )

internal class ExchangeFixture : ExchangeEnvironment, AutoCloseable {
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

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}

internal object DiscardingSink : AnswerSink {
    override fun sendAnswer(status: Int, reason: String, headers: HttpHeaders, body: ByteArray) = Unit

    override fun startAnswer(status: Int, reason: String, headers: HttpHeaders) = Unit

    override fun writeBody(part: ByteBuf): Boolean = part.release()

    override fun flush() = Unit

    override fun endAnswer() = Unit

    override fun abort() = Unit
}
