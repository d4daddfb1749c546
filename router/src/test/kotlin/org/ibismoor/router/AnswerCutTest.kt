package org.ibismoor.router

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.router.internal.AnswerCut
import org.ibismoor.router.internal.AnswerCuts
import org.ibismoor.router.internal.RouterMetrics
import org.ibismoor.routing.api.StreamId
import org.ibismoor.runtime.api.PartLog
import org.ibismoor.standin.api.EngineFaults
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.TokenPace
import org.ibismoor.transport.api.ConnectionCut
import java.net.Socket
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val CHAT = "/v1/chat/completions"

private class RecordingLog : PartLog {
    val lines = mutableListOf<Pair<String, Map<String, String>>>()

    override fun info(sentence: String, vararg values: Pair<String, Any?>) = Unit

    override fun warn(sentence: String, vararg values: Pair<String, Any?>) {
        lines += sentence to values.associate { (name, value) -> name to value.toString() }
    }

    override fun error(sentence: String, cause: Throwable, vararg values: Pair<String, Any?>) = Unit
}

/** The counted cuts by their cause. */
private fun TestFleet.cuts(): Map<String, Int> =
    get("/metrics").second.lines().filter { "event=\"cut\"" in it }.associate {
        it.substringAfter("reason=\"").substringBefore('"') to it.substringAfterLast(' ').toDouble().toInt()
    }

/** Guards against a caller's connection that ends without a whole answer and leaves no trace of the cause. */
class AnswerCutTest : StringSpec({
    "an answer that is cut short is logged with its cause and counted once" {
        val log = RecordingLog()
        val metrics = RouterMetrics { null }
        val cuts = AnswerCuts(log, metrics) { ConfigurationNumber(7) }
        cuts.record(AnswerCut(StreamId(3), "incomplete_answer", "timeout", UpstreamId("e1"), 5, 1_200))
        cuts.record(ConnectionCut.REQUEST_TIMEOUT)
        log.lines shouldHaveSize 2
        val (name, fields) = log.lines.first()
        name shouldBe "answer_cut"
        fields shouldContainExactly mapOf(
            "id" to "3",
            "cause" to "incomplete_answer",
            "detail" to "timeout",
            "upstream" to "e1",
            "events" to "5",
            "age_ms" to "1200",
            "version" to "7",
        )
        val scraped = metrics.scrape()
        scraped shouldContain """ibismoor_router_events_total{event="cut",reason="incomplete_answer"} 1.0"""
        scraped shouldContain """ibismoor_router_events_total{event="cut",reason="request_timeout"} 1.0"""
    }

    "a stream that breaks off after its first chunks is counted as cut with the reason that its caller gets" {
        val broken = fastEngine.copy(faults = EngineFaults(breakAfterChunks = 3))
        TestFleet(listOf(broken)).use { fleet ->
            val (status, body) = fleet.post(CHAT, chatBody(stream = true))
            status shouldBe 200
            body shouldContain "incomplete_answer"
            fleet.cuts() shouldBe mapOf("incomplete_answer" to 1)
        }
    }

    "a whole stream whose charge is refused is counted as cut" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            fleet.control.refusesSettlement = true
            fleet.post(CHAT, chatBody(stream = true)).second shouldNotContain "[DONE]"
            fleet.cuts() shouldBe mapOf("session_expired" to 1)
        }
    }

    "a whole answer and a refusal are no cuts" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            fleet.post(CHAT, chatBody(stream = true)).second shouldContain "[DONE]"
            fleet.post(CHAT, chatBody(stream = false)).first shouldBe 200
            fleet.post(CHAT, chatBody(stream = false), key = POOR_KEY).first shouldBe 402
            fleet.cuts().keys.shouldBeEmpty()
        }
    }

    "a caller that leaves during a stream is counted once" {
        val permits = Semaphore(1)
        val pace = TokenPace { _, _ -> permits.tryAcquire(20, TimeUnit.SECONDS) }
        TestFleet(listOf(EngineSettings(answerTokens = 5, pace = pace))).use { fleet ->
            val request = Request.Builder().url(fleet.url + CHAT).header("Authorization", "Bearer $API_KEY")
                .post(chatBody(stream = true).toRequestBody()).build()
            val call = httpClient.newCall(request)
            call.execute().use { response ->
                response.body!!.source().readUtf8Line()
                call.cancel()
            }
            eventually(10.seconds) { fleet.engines.single().counts.cancelled shouldBe 1 }
            eventually(10.seconds) { fleet.cuts() shouldBe mapOf("caller_left" to 1) }
            permits.release(100)
        }
    }

    "a connection that is closed because the body of its request does not arrive is counted" {
        TestFleet(listOf(fastEngine)).use { fleet ->
            Socket("127.0.0.1", fleet.router.port).use {
                val text = "POST $CHAT HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\nab"
                it.getOutputStream().write(text.toByteArray())
                it.getInputStream().readAllBytes().decodeToString() shouldBe ""
            }
            fleet.cuts() shouldBe mapOf("request_timeout" to 1)
        }
    }
})
