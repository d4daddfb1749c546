package org.ibismoor.router

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.TokenPace
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/**
 * Guards against a router that ends, and all answers with it, when a request's key names a control process that was
 * published after the router got its settings.
 */
class UnlistedControlTest : StringSpec({
    "a key of a published control process that the settings lack is claimed there and ends no other answer" {
        val permits = Semaphore(1)
        val pace = TokenPace { _, _ -> permits.tryAcquire(20, TimeUnit.SECONDS) }
        TestFleet(listOf(EngineSettings(answerTokens = 5, pace = pace))).use { fleet ->
            val request = Request.Builder().url("${fleet.url}/v1/chat/completions")
                .header("Authorization", "Bearer $API_KEY").post(chatBody(stream = true).toRequestBody()).build()
            httpClient.newCall(request).execute().use { response ->
                response.body!!.source().readUtf8Line()
                val key = mapOf("Idempotency-Key" to "$UNLISTED_REPLICA.5~x")
                fleet.post("/services/desk/bookings", "{}", headers = key).first shouldBe 201
                permits.release(10)
                response.body!!.string() shouldContain "[DONE]"
            }
            fleet.router.termination.isDone shouldBe false
        }
    }
})
