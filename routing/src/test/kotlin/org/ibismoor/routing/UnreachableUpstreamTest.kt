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

private fun RouterDouble.unreached(dispatch: Dispatch): List<RoutingEffect> =
    tell(AttemptFailed(dispatch.stream, dispatch.upstream.id, AttemptFailure.NOT_SENT)) + advance(now + 1)

private fun List<RoutingEffect>.dispatch(): Dispatch? = filterIsInstance<Dispatch>().singleOrNull()

/** Fails each attempt at another upstream than [reachable]; returns the attempt that reached it. */
private fun RouterDouble.reach(first: Dispatch, reachable: UpstreamId): Dispatch? =
    generateSequence(first) { if (it.upstream.id == reachable) null else unreached(it).dispatch() }.last()
        .takeIf { it.upstream.id == reachable }

/**
 * Guards against refusals by a router that is cut off from most upstreams of a group, though the rest can be reached.
 */
class UnreachableUpstreamTest : StringSpec({
    "every request finds the only reachable upstream of a group, whatever the retry budget" {
        val router = RouterDouble(configuration = configuration(engineCount = MEMBERS))
        (1L..60L).forEach { id ->
            val reached = checkNotNull(router.reach(router.dispatch(id), UpstreamId("e3")))
            router.settle(router.complete(reached)) shouldContain ReleaseAnswer(StreamId(id))
            router.advance(router.now + 500)
        }
        router.isEmpty() shouldBe true
    }

    "a group without a reachable upstream is tried once each, then the request is refused as not run" {
        val router = RouterDouble(configuration = configuration(engineCount = MEMBERS))
        val dispatches = mutableListOf(router.dispatch(1))
        val effects = mutableListOf<RoutingEffect>()
        while (effects.filterIsInstance<RefuseRequest>().isEmpty()) {
            effects += router.unreached(dispatches.last())
            dispatches += effects.filterIsInstance<Dispatch>().drop(dispatches.size - 1)
        }
        dispatches.map { it.upstream.id.text } shouldContainExactlyInAnyOrder (1..MEMBERS).map { "e$it" }
        effects.refusal().reason shouldBe RefusalReason.UPSTREAM_FAILED
        effects.refusal().outcome shouldBe Outcome.NOT_RUN
        effects.count { it == CountEvent(RoutingEvent.RETRY, "not_sent") } shouldBe MEMBERS - 1
    }

    "attempts that were not sent leave the retry budget to attempts that were" {
        val router = RouterDouble(configuration = configuration(engineCount = MEMBERS))
        val before = router.tables.groups.getValue(engines).retries
        val first = router.dispatch(1)
        val second = checkNotNull(router.unreached(first).dispatch())
        val afterUnsent = checkNotNull(router.tables.groups.getValue(engines).retries.left)
        afterUnsent shouldBe 10_000L
        before.left shouldBe null
        router.tell(AttemptFailed(second.stream, second.upstream.id, AttemptFailure.NO_ANSWER))
        afterUnsent shouldBeGreaterThan checkNotNull(router.tables.groups.getValue(engines).retries.left)
    }

    "an upstream is skipped after one failed connect for 1 s and then 2 s, and an answer resets that" {
        val router = RouterDouble(configuration = configuration(engineCount = 2))
        val first = router.dispatch(1)
        val lost = first.upstream.id
        checkNotNull(router.reach(first, UpstreamId(if (lost.text == "e1") "e2" else "e1")))
        router.tables.upstreams.getValue(lost).ejectedUntil?.millis shouldBe 1_000L
        router.advance(1_000)
        router.tables.upstreams.getValue(lost).ejectedUntil shouldBe null
        val again = generateSequence(2L) { it + 1 }.map { router.dispatch(it) }.first { it.upstream.id == lost }
        router.unreached(again)
        checkNotNull(router.tables.upstreams.getValue(lost).ejectedUntil).millis shouldBe 3_000L
        router.advance(3_000)
        val back = generateSequence(100L) { it + 1 }.map { router.dispatch(it) }.first { it.upstream.id == lost }
        router.complete(back)
        router.tables.upstreams.getValue(lost).failedConnects shouldBe 0
    }

    "between upstreams of equal load the own failure domain gets the work" {
        val mixed = configuration(engineCount = 2).let { tables ->
            val far = tables.upstreams.getValue(UpstreamId("e1")).copy(domain = norte2)
            tables.copy(upstreams = tables.upstreams.mutate { it[far.id] = far })
        }
        val router = RouterDouble(configuration = mixed)
        (1L..20L).map { id ->
            router.dispatch(id).also { router.settle(router.complete(it)) }.upstream.id.text
        }.filter { it != "e2" }.shouldBeEmpty()
    }
})
