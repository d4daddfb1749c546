package org.ibismoor.router

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.router.internal.AnswerCuts
import org.ibismoor.router.internal.AnswerTrace
import org.ibismoor.router.internal.Attempt
import org.ibismoor.router.internal.RouterMetrics
import org.ibismoor.router.internal.StreamDecision
import org.ibismoor.router.internal.StreamExchange
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.StreamId
import org.ibismoor.runtime.api.createLog
import java.io.IOException
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

private const val CHAT = "/v1/chat/completions"
private const val BOOKINGS = "/services/desk/bookings"
private val wholeTexts = listOf("v1", "v2").map { version -> (0..4).map { "$version-$it" } }

/** The pieces of text in an answer, each with the version that wrote it and its place in the text. */
private fun pieces(body: String): List<String> = Regex("v\\d-\\d+").findAll(body).map { it.value }.toList()

/** The first run breaks off before part [part], the others are whole. */
private fun breakFirstRun(part: Int) = VersionedUpstreams { run, index ->
    if (run == 0 && index == part) throw IOException("fault injected: answer broken off")
}

private fun withFleet(upstreams: VersionedUpstreams, test: (TestFleet) -> Unit) =
    upstreams.use { TestFleet(emptyList(), otherUpstreams = it.ports).use(test) }

/** Guards against an answer that joins texts of two software versions of its upstreams. */
class StreamContinuationTest : StringSpec({
    // Guards against a retry that goes on with a stream at another version after its first part reached the caller.
    "a stream that breaks off after its first part ends with an error and is not run again" {
        val upstreams = breakFirstRun(part = 3)
        withFleet(upstreams) { fleet ->
            val (status, body) = fleet.post(CHAT, chatBody(stream = true))
            status shouldBe 200
            pieces(body) shouldBe (0..2).map { "${upstreams.runs.single().version}-$it" }
            body shouldContain "incomplete_answer"
            body shouldNotContain "[DONE]"
        }
    }

    // Guards against an assembled answer that keeps the parts of an attempt that failed.
    "an answer assembled after a retry has the text of one version" {
        val upstreams = breakFirstRun(part = 3)
        withFleet(upstreams) { fleet ->
            val (status, body) = fleet.post(CHAT, chatBody(stream = false))
            status shouldBe 200
            upstreams.runs.map { it.version }.toSet() shouldHaveSize 2
            pieces(body) shouldBe (0..4).map { "${upstreams.runs.last().version}-$it" }
        }
    }

    // Guards against a part of a failed attempt at the head of a stream.
    "a stream that is retried before its first part has the text of one version" {
        val upstreams = breakFirstRun(part = 0)
        withFleet(upstreams) { fleet ->
            val body = fleet.post(CHAT, chatBody(stream = true)).second
            upstreams.runs.map { it.version }.toSet() shouldHaveSize 2
            pieces(body) shouldBe (0..4).map { "${upstreams.runs.last().version}-$it" }
            body shouldContain "[DONE]"
        }
    }

    // Guards against a service's answer whose second half comes from a retry at another version.
    "a long answer of a service that breaks off is cut and not run again" {
        val upstreams = breakFirstRun(part = 4)
        withFleet(upstreams) { fleet ->
            val request = Request.Builder().url(fleet.url + BOOKINGS).header("Authorization", "Bearer $API_KEY").build()
            httpClient.newCall(request).execute().use { response ->
                val source = response.body!!.source()
                val isCut = runCatching { while (!source.exhausted()) source.request(source.buffer.size + 1) }.isFailure
                isCut shouldBe true
                val versions = source.buffer.readUtf8().split(" ").filter { it.length == 2 }.toSet()
                versions shouldBe setOf(upstreams.runs.single().version)
            }
        }
    }

    // Guards against a repeated request that gets only the rest of a text whose first part another version wrote.
    "a request repeated with its key after a broken stream gets a whole text from its first part" {
        val upstreams = breakFirstRun(part = 3)
        withFleet(upstreams) { fleet ->
            val key = mapOf("Idempotency-Key" to "one-key")
            fleet.post(CHAT, chatBody(stream = true), headers = key).second shouldNotContain "[DONE]"
            val body = fleet.post(CHAT, chatBody(stream = true), headers = key).second
            pieces(body) shouldBeIn wholeTexts
            body shouldContain "[DONE]"
            upstreams.runs shouldHaveSize 2
        }
    }

    // Guards against a stream that goes on at another version after a restart of the router.
    "a router that was restarted during a stream answers the repeated request from its first part" {
        val permits = Semaphore(0)
        val upstreams = VersionedUpstreams { run, part ->
            if (run == 0 && part == 3) permits.tryAcquire(20, TimeUnit.SECONDS)
        }
        withFleet(upstreams) { fleet ->
            val request = Request.Builder().url(fleet.url + CHAT).header("Authorization", "Bearer $API_KEY")
                .header("Idempotency-Key", "one-key").post(chatBody(stream = true).toRequestBody()).build()
            httpClient.newCall(request).execute().use { response ->
                response.body!!.source().readUtf8Line().shouldNotBeNull() shouldContain "-0 "
                fleet.restartRouter()
                val body = fleet.post(CHAT, chatBody(true), headers = mapOf("Idempotency-Key" to "one-key")).second
                pieces(body) shouldBeIn wholeTexts
                body shouldContain "[DONE]"
                permits.release()
                val rest = runCatching { response.body!!.string() }.getOrDefault("")
                pieces(rest).map { it.substringBefore('-') }.toSet() shouldBeIn
                    listOf(emptySet(), setOf(upstreams.runs.first().version))
            }
        }
    }

    // Guards against an engine that takes an event or a memory of another run from a header of the caller.
    "an engine gets no header of the caller" {
        val upstreams = VersionedUpstreams { _, _ -> }
        withFleet(upstreams) { fleet ->
            val headers = mapOf("X-Own" to "1", "Kv-From" to "127.0.0.1:1/a", "Range" to "bytes=5-")
            fleet.post(CHAT, chatBody(stream = true), headers = headers).second shouldContain "[DONE]"
            val names = headers.keys.map { it.lowercase() }.toSet()
            upstreams.runs.single().headers.intersect(names).shouldBeEmpty()
        }
    }

    // Guards against an upstream of another version that goes on after an event, and against a caller that takes a text
    // from its start for the rest of the one it has.
    "a request to go on after an event is refused as not run and reaches no upstream" {
        val upstreams = VersionedUpstreams { _, _ -> }
        withFleet(upstreams) { fleet ->
            val calls = listOf(CHAT to chatBody(stream = true), CHAT to chatBody(stream = false), BOOKINGS to "{}")
            val headers = listOf(
                "Last-Event-Id" to "3",
                "last-event-id" to "3",
                "Last-Event-ID" to "",
                "Resumes" to "a",
            )
            calls.forEach { (path, body) ->
                headers.forEach { header ->
                    val (status, text) = fleet.post(path, body, headers = mapOf(header))
                    status shouldBe 400
                    text shouldContain "malformed_request"
                    text shouldContain "\"not_run\""
                }
            }
            upstreams.runs.shouldBeEmpty()
            fleet.control.requests.shouldBeEmpty()
        }
    }

    // Guards against a traffic thread that would append a second run to an answer if a retry were decided by mistake.
    "a decision to run a request again after its first part ends the answer with an error" {
        val cuts = AnswerCuts(createLog("router"), RouterMetrics { null }) { ConfigurationNumber(7) }
        val id = StreamId(1)
        val exchange = StreamExchange(id, AnswerTrace(id, cuts)) { }
        val dispatch = dispatchOf(id)
        val attempt = Attempt(dispatch, exchange)
        attempt.reportStart()
        exchange.postDecision(StreamDecision.StartAttempt(dispatch))
        val decision = attempt.awaitEndOfAnswer("broken_answer").shouldBeInstanceOf<StreamDecision.SendRefusal>()
        decision.refusal.reason shouldBe RefusalReason.INTERNAL_ERROR
    }
})

private fun dispatchOf(id: StreamId): Dispatch {
    val group = UpstreamGroupId("services")
    return Dispatch(
        stream = id,
        key = RequestKey(OrganisationId("desk"), "key"),
        route = ServiceRoute(RouteId("desk"), group, 60_000, persistentListOf()),
        upstream = Upstream(UpstreamId("services-1"), group, FailureDomainId("norte"), "http://127.0.0.1:1"),
        priority = Priority.NORMAL,
        costLimit = 1,
        answerTokenBound = 1,
        remainingMillis = 1_000,
        isIdempotent = true,
    )
}
