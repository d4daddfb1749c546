/**
 * Requests that arrive on kept connections while a router drains. The process exits 7.2 s after the start of the drain
 * and cuts off what is still open.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.ForwardingTimes

private const val LATE_MILLIS = 4_000L

/** Routes of the test let a request last 5 s, so one that arrives then may last beyond the drain. */
private const val EARLY_MILLIS = 2_400L

class DrainTest : StringSpec({
    "a request that arrives late in a drain and may outlast it is refused as not run" {
        // Guards against requests that are passed on and cut off without an answer at the end of a planned stop, among
        // them such that may not be repeated.
        val router = drainingRouter()
        router.advance(LATE_MILLIS)
        val numbers = listOf("/booking/1", "/status/1", "/review/1", "/chat/1").map { router.sendRequest(it) }
        numbers.forEach { number ->
            router.attemptsOf(number).shouldBeEmpty()
            val refusal = router.refusalOf(number)
            refusal?.reason shouldBe RefusalReason.DRAINING
            refusal?.outcome shouldBe Outcome.NOT_RUN
            // Another router can serve at once.
            refusal?.retryAfterMillis shouldBe 40
        }
    }

    "a request that arrives early in a drain and may outlast it is refused as not run" {
        // Guards against streams that are cut off at the end of a planned stop though another router could serve them.
        val router = drainingRouter()
        router.advance(EARLY_MILLIS)
        listOf("/review/1", "/chat/1").map { router.sendRequest(it, deadlineMillis = 15_000) }.forEach { number ->
            router.attemptsOf(number).shouldBeEmpty()
            router.refusalOf(number)?.reason shouldBe RefusalReason.DRAINING
            router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
        }
    }

    "a request whose caller waits no longer than the drain lasts is served" {
        // Guards against refusals of short requests while there is time for them.
        val router = drainingRouter()
        router.advance(LATE_MILLIS)
        val number = router.sendRequest("/booking/1", deadlineMillis = 1_000)
        router.attemptsOf(number) shouldHaveSize 1
    }

    "a request that arrives early in a drain is served" {
        // Guards against refusals while callers still have the address of this router.
        val router = drainingRouter()
        router.advance(1_000)
        val number = router.sendRequest("/booking/1")
        router.attemptsOf(number) shouldHaveSize 1
    }
})

private fun drainingRouter(): RouterHarness =
    RouterHarness(times = ForwardingTimes(maximumDrainMillis = 7_200)).start().apply { post(DrainStarted) }
