/**
 * A connection of a caller without a router around it: the test holds the exchanges and gives the answers.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.ibismoor.forwarding.api.CallerLimits
import org.ibismoor.gateway.internal.net.AnswerEncoder
import org.ibismoor.gateway.internal.net.StrictRequestDecoder
import org.ibismoor.gateway.internal.net.createProcessMemory
import org.ibismoor.gateway.internal.router.AnswerSink
import org.ibismoor.gateway.internal.router.CallerConnection
import org.ibismoor.gateway.internal.router.ConnectionEnvironment
import org.ibismoor.gateway.internal.router.CutAnswer
import org.ibismoor.gateway.internal.router.CutAnswerRecorder
import org.ibismoor.gateway.internal.router.CutCause
import org.ibismoor.gateway.internal.router.Exchange
import org.ibismoor.gateway.internal.router.ReceivedRequest
import org.ibismoor.gateway.internal.router.RequestProblem

private const val HEADER_BYTES = 2_000

private fun keptRequest(line: String): String = request(line).replace("Connection: close\r\n", "")

private class ScriptedEnvironment(private val start: (ReceivedRequest) -> Exchange) : ConnectionEnvironment {
    val paths = mutableListOf<String>()
    val recordedCuts = mutableListOf<CutAnswer>()
    override val limits = CallerLimits()
    override val dialect = TestDialect
    override val isDraining = false
    override val isClosingIdle = false
    var isMoving = false
    override val cuts = CutAnswerRecorder { recordedCuts += it }
    override val memory = createProcessMemory()
    private val account = memory.open { }
    val connection = CallerConnection(AnswerEncoder(), account, this)
    val channel = EmbeddedChannel(StrictRequestDecoder(HEADER_BYTES, account), AnswerEncoder(), connection)

    fun receive(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
    }

    override fun registerConnection(connection: CallerConnection) = Unit

    override fun unregisterConnection(connection: CallerConnection) = Unit

    override fun startExchange(request: ReceivedRequest, output: AnswerSink): Exchange {
        paths += request.path
        return start(request)
    }

    override fun takeCallerMove() = isMoving

    override fun countRejection(problem: RequestProblem) = Unit
}

class CallerConnectionTest : StringSpec({
    "a pipelined request that was read before its connection became idle is handled" {
        // Guards against a drain that closes the connection between two requests that the router has both read.
        ExchangeFixture().use { fixture ->
            val environment = ScriptedEnvironment { fixture.exchange() }
            environment.receive(keptRequest("POST /once/1") + keptRequest("POST /once/2"))
            environment.connection.sendAnswer(200, "", DefaultHttpHeaders(), ByteArray(0))
            environment.connection.closeIfIdle()
            environment.channel.runPendingTasks()
            environment.channel.isOpen shouldBe true
            environment.paths shouldContainExactly listOf("/once/1", "/once/2")
        }
    }

    "an exception before a request that was read is handled is recorded" {
        // Guards against a whole request that ends without an answer and without a line in the log.
        val environment = ScriptedEnvironment { error("no exchange") }
        environment.receive(keptRequest("POST /once/1"))
        environment.recordedCuts shouldContainExactly
            listOf(CutAnswer(CutCause.INTERNAL_ERROR, "IllegalStateException", "c1"))
    }

    "a caller that moves to another router has the whole answer and then no connection" {
        ExchangeFixture().use { fixture ->
            val environment = ScriptedEnvironment { fixture.exchange() }.also { it.isMoving = true }
            environment.receive(keptRequest("POST /once/1"))
            environment.connection.sendAnswer(200, "", DefaultHttpHeaders(), "done".encodeToByteArray())
            environment.channel.runPendingTasks()
            val written = generateSequence { environment.channel.readOutbound<ByteBuf>() }
                .joinToString("") { it.toString(Charsets.ISO_8859_1) }
            written.lowercase() shouldContain "connection: close"
            written shouldEndWith "done"
            environment.channel.isOpen shouldBe false
        }
    }

    "a caller does not move while another request of its connection has been read" {
        // Guards against a request that the end of the connection cuts off.
        ExchangeFixture().use { fixture ->
            val environment = ScriptedEnvironment { fixture.exchange() }.also { it.isMoving = true }
            environment.receive(keptRequest("POST /once/1") + keptRequest("POST /once/2"))
            environment.connection.sendAnswer(200, "", DefaultHttpHeaders(), ByteArray(0))
            environment.channel.runPendingTasks()
            environment.channel.isOpen shouldBe true
            environment.paths shouldContainExactly listOf("/once/1", "/once/2")
        }
    }
})
