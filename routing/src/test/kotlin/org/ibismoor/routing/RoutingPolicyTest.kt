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

private const val LARGEST = 96

class RoutingPolicyTest : StringSpec({
    // Guards against a cache that is never used because equal prompts go to different engines.
    "prompts with one prefix go to one engine while its load is near the mean" {
        val router = RouterDouble()
        val used = (1L..20L).map { id ->
            router.dispatch(id).also { router.settle(router.complete(it)) }.upstream.id
        }
        used.distinct() shouldHaveSize 1
    }

    // Guards against a hot prefix that fills one engine while others have free places.
    "a hot prefix spills over before its engine has two requests more than the mean" {
        val router = RouterDouble()
        (1L..30L).forEach { router.dispatch(it) }
        router.tables.upstreams.values.filter { it.upstream.group == engines }.forEach {
            it.inFlight shouldBeLessThanOrEqual 12
        }
    }

    // Guards against a router that takes an engine for idle because it has no request of its own there.
    "an engine that other routers load is avoided" {
        val router = RouterDouble()
        val loaded = router.dispatch(1).also { router.settle(router.complete(it)) }.upstream.id
        router.tell(ReportsReceived(listOf(UpstreamReport(loaded, 16, 8, false, "1", 0))))
        (router.dispatch(2).upstream.id == loaded) shouldBe false
    }

    // Guards against requests that are refused and retried at full upstreams instead of waiting in the queue.
    "a refusal lowers the limit once, and answers at the limit raise it again" {
        val policy = adaptiveConcurrency()
        val full = GroupRow(active = 40)
        val lower = policy.afterRefusal(full)
        policy.room(lower, LARGEST) shouldBe 36.0
        policy.afterRefusal(lower) shouldBe lower
        val raised = policy.afterAnswer(lower.copy(active = 36))
        policy.room(lower, LARGEST) shouldBeLessThan policy.room(raised, LARGEST)
    }

    // Guards against several requests that wait at once for the connect to an upstream that is still gone.
    "an upstream that could not be reached gets one request at a time until it answers" {
        val router = RouterDouble()
        val first = router.dispatch(1)
        val lost = first.upstream.id
        router.tell(AttemptFailed(StreamId(1), lost, AttemptFailure.NOT_SENT))
        router.advance(1_000)
        val later = (2L..40L).map<Long, Dispatch> { router.dispatch(it) }
        later.count { it.upstream.id == lost } shouldBe 1
    }
})
