package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.StreamAnswer
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.StreamContinuation
import org.ibismoor.forwarding.internal.streamEvidence

private const val CALLS = 8
private val ENGINE_GROUP = OLD_ENGINES[0].group

class StreamAnswerGroupTest : StringSpec({
    "the only version of one group does not answer for another group of the route" {
        // Guards against answers that are told apart by the stream alone while two groups were asked for.
        val secondGroup = OLD_ENGINES.map { upstream("second-${it.id}", SECOND_GROUP, FIRST_VERSION) }
        val router = RouterHarness().start(splitConfiguration(), OLD_ENGINES + NEW_ENGINES + secondGroup)
        router.isControlUnreachable = true
        router.advance(1_000)
        repeat(CALLS) { router.post(RequestArrived(RequestNumber(1_000L + it), continuation(it))) }
        val asked = streamEvidence(router.tables)!!.asked.sortedBy { it.group == SECOND_GROUP }
        asked.map { it.group } shouldBe listOf(ENGINE_GROUP, SECOND_GROUP)

        val answers = asked.map { question ->
            val soleVersion = FIRST_VERSION.takeIf { question.group == SECOND_GROUP }
            StreamAnswer(question.stream, question.group, soleVersion = soleVersion)
        }
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList(), streams = answers), null))
        val sent = router.sentAttempts.filter { it.upstream.group == ENGINE_GROUP }
        withClue("${sent.size} of $CALLS calls reached the group with two versions") { sent.shouldBeEmpty() }
    }
})

private fun continuation(index: Int): RequestHead {
    val digest = RequestDigest("continued")
    val stream = StreamContinuation("first-call")
    return RequestHead("call-x$index", "desk.example", "/chat/1", KEY, 4_000, null, digest, stream)
}
