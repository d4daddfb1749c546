package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.StreamAnswer
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.forwarding.api.OriginsAnswered
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.StreamContinuation
import org.ibismoor.forwarding.internal.streamDigestOf

private const val LARGE_FLEET = 329
private val CONTINUATION = RequestNumber(1_000)

/** The first call of a [RouterHarness]. */
private const val FIRST_CALL = "call-1"
private val STREAM = streamDigestOf(COUNCIL, FIRST_CALL)

class ContinuationRefusalTest : StringSpec({
    "a caller is told to come back while another router of a large fleet may still report the stream" {
        // Guards against a refusal for good of a stream that the leader learns of with the next reports.
        val beginning = startLargeFleetRouter()
        beginning.beginStream()
        val continuing = startLargeFleetRouter()
        continuing.continueStream()
        listOf(beginning, continuing).forEach { it.advance(100) }
        beginning.reportedStreams().shouldBeEmpty()
        continuing.answerFromLeader(StreamAnswer(STREAM, OLD_ENGINES[0].group))
        listOf(beginning, continuing).forEach { it.advance(400) }
        beginning.reportedStreams() shouldContain STREAM
        withClue("${continuing.refusalOf(CONTINUATION)}") {
            continuing.refusalOf(CONTINUATION).shouldNotBeNull().retryAfterMillis.shouldNotBeNull()
        }
    }

    "a caller is told to come back for a version that the router does not list yet" {
        // Guards against a refusal for good where the version is new and its upstreams follow with the next list.
        val router = RouterHarness().start(entries = OLD_ENGINES)
        router.continueStream()
        router.post(OriginsAnswered(mapOf(STREAM to StreamOrigin(OLD_ENGINES[0].group, SECOND_VERSION))))
        val refusal = router.refusalOf(CONTINUATION)
        withClue("$refusal") {
            if (refusal != null) refusal.retryAfterMillis.shouldNotBeNull()
        }
    }
})

/** A router of a large fleet, with two versions in service, that has just reported. */
private fun startLargeFleetRouter(): RouterHarness {
    val router = RouterHarness().start(entries = OLD_ENGINES + NEW_ENGINES)
    val list = UpstreamList(2, OLD_ENGINES + NEW_ENGINES, listOf(OLD_ENGINES[0].group))
    router.post(ReportAnswered(ReportAnswer(true, null, emptyList(), upstreams = list), null))
    router.listRouters(LARGE_FLEET)
    val reports = router.effects.count { it is SendReport }
    while (router.effects.count { it is SendReport } == reports) router.advance(10)
    return router
}

private fun RouterHarness.continueStream() {
    val digest = RequestDigest("continued")
    val stream = StreamContinuation(FIRST_CALL)
    val head = RequestHead("call-x", "desk.example", "/chat/1", KEY, 4_000, null, digest, stream)
    post(RequestArrived(CONTINUATION, head))
}

private fun RouterHarness.answerFromLeader(answer: StreamAnswer) =
    post(ReportAnswered(ReportAnswer(true, null, emptyList(), streams = listOf(answer)), null))

private fun RouterHarness.reportedStreams(): List<StreamDigest> =
    effects.filterIsInstance<SendReport>().flatMap { it.report.streams?.begun.orEmpty() }.flatMap { it.streams }
