package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.FirstEventArrived

class SlowStreamTest : StringSpec({
    "a stream that cannot be resumed is not ended for its silence" {
        // Guards against slow but sound streams that are cut: only the route's time-out or the caller ends them.
        val router = RouterHarness().start()
        val number = router.sendRequest("/review/1")
        val terms = router.attemptsOf(number).single().terms
        terms.firstAnswerTimeoutMillis.shouldBeNull()
        terms.stallTimeoutMillis.shouldBeNull()
    }

    "the last attempt of a resumable stream is not ended for its silence" {
        // Guards against a slow stream that is cut although no other upstream may continue it.
        val router = RouterHarness().start()
        val number = router.sendRequest("/chat/1")
        router.endAttempt(number, AnswerLost("silent", 3, isAnswerStarted = true, isResumable = true))
        val attempts = router.attemptsOf(number)
        attempts shouldHaveSize 2
        attempts.last().terms.stallTimeoutMillis.shouldBeNull()
    }

    "a stream that goes on slowly ends at the time-out of its route" {
        // Guards against stalled streams that send a byte now and then and never end.
        val router = RouterHarness().start()
        val number = router.sendRequest("/review/1", deadlineMillis = 60_000)
        router.post(FirstEventArrived(number, attempt = 1, load = null))
        router.advance(4_500)
        router.refusalOf(number).shouldBeNull()
        router.advance(1_000)
        (router.refusalOf(number) != null) shouldBe true
    }
})
