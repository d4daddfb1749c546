package org.ibismoor.routing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.GroupRow
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.routing.api.StreamId
import org.ibismoor.routing.api.adaptiveConcurrency

private const val UPPER_BOUND = 96

class RoutingPolicyTest : StringSpec({
    // Guards against prefix caches without hits, because prompts with equal prefixes go to different engines.
    "prompts with the same prefix go to the same engine while its load is near the mean" {
        val router = RouterHarness()
        val upstreams = (1L..20L).map { id ->
            router.dispatch(id).also { router.settle(router.complete(it)) }.upstream.id
        }
        upstreams.distinct() shouldHaveSize 1
    }

    // Guards against a hot prefix that fills the batch of one engine while others have free places.
    "a hot prefix spills over before its engine has two requests more than the mean" {
        val router = RouterHarness()
        (1L..30L).forEach { router.dispatch(it) }
        router.tables.upstreams.values.filter { it.upstream.group == engines }.forEach {
            it.inFlight shouldBeLessThanOrEqual 12
        }
    }

    // Guards against a router that considers an engine idle because it has no request of its own there.
    "an engine with load from other routers is avoided" {
        val router = RouterHarness()
        val loaded = router.dispatch(1).also { router.settle(router.complete(it)) }.upstream.id
        router.send(ReportsReceived(listOf(UpstreamReport(loaded, 16, 8, false, "1", 0))))
        (router.dispatch(2).upstream.id == loaded) shouldBe false
    }

    // Guards against requests that full upstreams refuse repeatedly, while they could wait in the queue.
    "a refusal lowers the concurrency limit once, and answers at the limit raise it again" {
        val policy = adaptiveConcurrency()
        val saturated = GroupRow(active = 40)
        val lowered = policy.applyRefusal(saturated)
        policy.activeLimit(lowered, UPPER_BOUND) shouldBe 36.0
        policy.applyRefusal(lowered) shouldBe lowered
        val raised = policy.applyAnswer(lowered.copy(active = 36))
        policy.activeLimit(lowered, UPPER_BOUND) shouldBeLessThan policy.activeLimit(raised, UPPER_BOUND)
    }

    // Guards against several requests that wait at the same time for the connect to an unreachable upstream to fail.
    "an upstream that could not be reached gets one request at a time until it answers" {
        val router = RouterHarness()
        val first = router.dispatch(1)
        val unreachable = first.upstream.id
        router.send(AttemptFailed(StreamId(1), unreachable, AttemptFailure.NOT_SENT))
        router.advance(1_000)
        val dispatches = (2L..40L).map<Long, Dispatch> { router.dispatch(it) }
        dispatches.count { it.upstream.id == unreachable } shouldBe 1
    }
})
