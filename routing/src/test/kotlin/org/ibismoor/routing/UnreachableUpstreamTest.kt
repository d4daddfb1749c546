package org.ibismoor.routing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.mutate
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.StreamId

private const val MEMBERS = 8

private fun RouterHarness.failConnect(dispatch: Dispatch): List<RoutingEffect> =
    send(AttemptFailed(dispatch.stream, dispatch.upstream.id, AttemptFailure.NOT_SENT)) + advance(now + 1)

private fun List<RoutingEffect>.dispatchOrNull(): Dispatch? = filterIsInstance<Dispatch>().singleOrNull()

/** Fails each attempt at an upstream other than [reachable] until one is dispatched to it, or null if none is. */
private fun RouterHarness.failUntilReached(first: Dispatch, reachable: UpstreamId): Dispatch? =
    generateSequence(first) { if (it.upstream.id == reachable) null else failConnect(it).dispatchOrNull() }.last()
        .takeIf { it.upstream.id == reachable }

/**
 * Guards against refusals by a router that cannot reach most upstreams of a group, although others are reachable.
 */
class UnreachableUpstreamTest : StringSpec({
    "every request gets to the only reachable upstream of a group, independent of the retry budget" {
        val router = RouterHarness(configuration = configuration(engineCount = MEMBERS))
        (1L..60L).forEach { id ->
            val reached = checkNotNull(router.failUntilReached(router.dispatch(id), UpstreamId("e3")))
            router.settle(router.complete(reached)) shouldContain ReleaseAnswer(StreamId(id))
            router.advance(router.now + 500)
        }
        router.isEmpty() shouldBe true
    }

    "each upstream of an unreachable group is tried once, then the request is refused as not run" {
        val router = RouterHarness(configuration = configuration(engineCount = MEMBERS))
        val dispatches = mutableListOf(router.dispatch(1))
        val effects = mutableListOf<RoutingEffect>()
        while (effects.filterIsInstance<RefuseRequest>().isEmpty()) {
            effects += router.failConnect(dispatches.last())
            dispatches += effects.filterIsInstance<Dispatch>().drop(dispatches.size - 1)
        }
        dispatches.map { it.upstream.id.text } shouldContainExactlyInAnyOrder (1..MEMBERS).map { "e$it" }
        effects.refusal().reason shouldBe RefusalReason.UPSTREAM_FAILED
        effects.refusal().outcome shouldBe Outcome.NOT_RUN
        effects.count { it == CountEvent(RoutingEvent.RETRY, "not_sent") } shouldBe MEMBERS - 1
    }

    "attempts that were not sent cost no retry budget, attempts that were sent do" {
        val router = RouterHarness(configuration = configuration(engineCount = MEMBERS))
        val before = router.tables.groups.getValue(engines).retryBudget
        val first = router.dispatch(1)
        val second = checkNotNull(router.failConnect(first).dispatchOrNull())
        val remainingAfterUnsent = checkNotNull(router.tables.groups.getValue(engines).retryBudget.remaining)
        remainingAfterUnsent shouldBe 10_000L
        before.remaining shouldBe null
        router.send(AttemptFailed(second.stream, second.upstream.id, AttemptFailure.NO_ANSWER))
        val remainingAfterSent = checkNotNull(router.tables.groups.getValue(engines).retryBudget.remaining)
        remainingAfterUnsent shouldBeGreaterThan remainingAfterSent
    }

    "an upstream is ejected for 1 s and then 2 s after connection failures, and an answer resets the count" {
        val router = RouterHarness(configuration = configuration(engineCount = 2))
        val first = router.dispatch(1)
        val unreachable = first.upstream.id
        checkNotNull(router.failUntilReached(first, UpstreamId(if (unreachable.text == "e1") "e2" else "e1")))
        router.tables.upstreams.getValue(unreachable).ejectedUntil?.millis shouldBe 1_000L
        router.advance(1_000)
        router.tables.upstreams.getValue(unreachable).ejectedUntil shouldBe null
        val secondAttempt = generateSequence(2L) { it + 1 }.map { router.dispatch(it) }
            .first { it.upstream.id == unreachable }
        router.failConnect(secondAttempt)
        checkNotNull(router.tables.upstreams.getValue(unreachable).ejectedUntil).millis shouldBe 3_000L
        router.advance(3_000)
        val thirdAttempt = generateSequence(100L) { it + 1 }.map { router.dispatch(it) }
            .first { it.upstream.id == unreachable }
        router.complete(thirdAttempt)
        router.tables.upstreams.getValue(unreachable).failedConnects shouldBe 0
    }

    "of upstreams with equal load, one in the own failure domain is selected" {
        val mixed = configuration(engineCount = 2).let { tables ->
            val remote = tables.upstreams.getValue(UpstreamId("e1")).copy(domain = norte2)
            tables.copy(upstreams = tables.upstreams.mutate { it[remote.id] = remote })
        }
        val router = RouterHarness(configuration = mixed)
        (1L..20L).map { id ->
            router.dispatch(id).also { router.settle(router.complete(it)) }.upstream.id.text
        }.filter { it != "e2" }.shouldBeEmpty()
    }
})
