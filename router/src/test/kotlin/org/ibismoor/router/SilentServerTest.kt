package org.ibismoor.router

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.router.internal.DECISION_TIMEOUT_MILLIS
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.ServiceSettings
import org.ibismoor.standin.api.TokenPace
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

private const val CHAT = "/v1/chat/completions"

/** Longer than the session of a reservation (4 s) and the limits of a connection (1 s) and a control call (2 s). */
private const val SILENCE_MILLIS = 5_000L

/** The longest deadline that a route may declare. */
private const val MAXIMUM_DEADLINE_MILLIS = 3_600_000L

private val silentBeforeFirst = TokenPace { index, _ -> if (index == 0) Thread.sleep(SILENCE_MILLIS) }
private val silentInTheMiddle = TokenPace { index, _ -> if (index == 2) Thread.sleep(SILENCE_MILLIS) }

/** Guards against answers that end because a server falls silent and then goes on. */
class SilentServerTest : StringSpec({
    val paces = mapOf("before its first token" to silentBeforeFirst, "in the middle" to silentInTheMiddle)
    paces.forEach { (text, pace) ->
        "an engine that is silent $text and goes on loses no answer and gets the request once" {
            val engine = EngineSettings(answerTokens = 5, pace = pace)
            TestFleet(listOf(engine, engine)).use { fleet ->
                val whole = CompletableFuture.supplyAsync { fleet.post(CHAT, chatBody(stream = false)).first }
                fleet.post(CHAT, chatBody(stream = true)).second shouldContain "[DONE]"
                whole.get() shouldBe 200
                fleet.engines.sumOf { it.counts.started } shouldBe 2
                fleet.engines.sumOf { it.counts.cancelled } shouldBe 0
            }
        }
    }

    "a service that is silent and goes on loses no answer and gets the request once" {
        TestFleet(listOf(fastEngine), ServiceSettings(delayMillis = SILENCE_MILLIS)).use { fleet ->
            fleet.post("/services/desk/bookings", "{}").first shouldBe 201
            fleet.service.bookings.values.toList() shouldBe listOf(1)
        }
    }

    "a stream whose control process is silent while it runs ends whole" {
        val permits = Semaphore(1)
        val pace = TokenPace { _, _ -> permits.tryAcquire(20, TimeUnit.SECONDS) }
        TestFleet(listOf(EngineSettings(answerTokens = 5, pace = pace))).use { fleet ->
            val request = Request.Builder().url(fleet.url + CHAT).header("Authorization", "Bearer $API_KEY")
                .post(chatBody(stream = true).toRequestBody()).build()
            httpClient.newCall(request).execute().use { response ->
                response.body!!.source().readUtf8Line()
                fleet.control.isSilent = true
                Thread.sleep(SILENCE_MILLIS)
                permits.release(10)
                Thread.sleep(SILENCE_MILLIS)
                fleet.control.isSilent = false
                response.body!!.string() shouldContain "[DONE]"
            }
            fleet.engines.single().counts.cancelled shouldBe 0
        }
    }

    "a decision is awaited for longer than the longest deadline of a request and the time for its charge" {
        DECISION_TIMEOUT_MILLIS shouldBeGreaterThan MAXIMUM_DEADLINE_MILLIS + 10_000
    }
})
