/**
 * Upstreams that have started or recovered, in a group with a cold bound and in one with a pace.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.ColdAnnounced
import org.ibismoor.forwarding.api.ColdSettings
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.PolicySwitch
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.pacing.api.PaceSettings

private val ENGINES = UpstreamGroupId("engines")
private val NEW = UpstreamId("engine-new")
private val PACING = PaceSettings(coldOvershoot = 1.5, coldSlack = 5.0)

class UpstreamPaceTest : StringSpec({
    "a started upstream gets its part of the cold bound, and its usual requests when it is warm" {
        // Guards against a cold upstream that crashes under the requests of all routers.
        val router = RouterHarness(pacing = PACING).start(coldConfiguration())
        router.listUpstreams(upstreams() + upstream(NEW.text))
        router.requestsTo(NEW, count = 200) shouldBe 2
        router.advance(1_300)
        router.requestsTo(NEW, count = 200) shouldBe 2
        router.advance(1_800)
        (router.requestsTo(NEW, count = 200) > 2) shouldBe true
    }

    "a router that is not chosen sends a cold upstream nothing" {
        // Guards against ninety routers that each take a part.
        val router = RouterHarness(pacing = PACING).start(coldConfiguration())
        router.listRouters(count = 95)
        val started = List(40) { upstream("engine-new-$it") }
        router.listUpstreams(upstreams() + started)
        repeat(400) { router.sendRequest("/review/$it", prompt = promptOf(100, 10)) }
        val attempts = router.sentAttempts.groupingBy { it.upstream.id }.eachCount()
        val used = started.mapNotNull { attempts[it.id] }
        used.size shouldBeInRange 1..12
        used.max() shouldBe 2
    }

    "a request that only cold upstreams could serve is refused as not run until the next permitted send" {
        // Guards against callers that come back before an upstream takes requests, or never learn when.
        val router = RouterHarness(pacing = PACING).start(coldConfiguration())
        router.tables.upstreams.keys.forEach { router.post(ColdAnnounced(it, remainingMillis = 2_000)) }
        val numbers = List(30) { router.sendRequest("/review/$it", prompt = promptOf(100, 10)) }
        numbers.filter { router.attemptsOf(it).isNotEmpty() } shouldHaveSize 6
        val refusal = checkNotNull(router.refusalOf(numbers.last()))
        refusal.outcome shouldBe Outcome.NOT_RUN
        checkNotNull(refusal.retryAfterMillis) shouldBeInRange 1_000L..1_250L
    }

    "without contact with the leader a known cold upstream stays bounded, and others are used as before" {
        // Guards against refusals of all requests in a partition between routers and control processes.
        val router = RouterHarness(pacing = PACING).start(coldConfiguration())
        router.listUpstreams(upstreams() + upstream(NEW.text))
        router.isControlUnreachable = true
        router.requestsTo(NEW, count = 100) shouldBe 2
        router.advance(8_000)
        (router.requestsTo(NEW, count = 100) > 2) shouldBe true
        router.refusals.shouldBeEmpty()
    }

    "an upstream whose domain returns from an evacuation is cold until its start time has passed" {
        // Guards against the usual requests of all routers at upstreams that have become cold in an evacuated domain.
        val router = RouterHarness(pacing = PACING).start(coldConfiguration())
        val domains = router.tables.upstreams.values.map { it.entry.domain }.distinct()
        listOf(EvacuationList(1, domains), EvacuationList(2)).forEach { list ->
            router.post(ReportAnswered(ReportAnswer(true, null, emptyList(), evacuations = list), null))
        }
        val engines = router.tables.upstreams.values.filter { it.entry.group == ENGINES }
        engines.all { it.pace?.isCold(router.now + 2_900) == true } shouldBe true
        engines.any { it.pace?.isCold(router.now + 3_000) == true } shouldBe false
    }

    "an upstream without a cold bound or a pace is used at once" {
        // Guards against another behaviour of deployments that ask for neither.
        val router = RouterHarness().start()
        router.listUpstreams(upstreams() + upstream(NEW.text).copy(coldMillis = 3_000))
        (router.requestsTo(NEW, count = 40) > 4) shouldBe true
        router.tables.upstreams.getValue(NEW).pace?.ramp shouldBe null
    }

    "a started upstream with a pace gets one request at a time at first, and others take the rest" {
        // Guards against a flood at an upstream that has just started.
        val policies = LoadPolicies(upstreamPacing = PolicySwitch.ON)
        val router = RouterHarness(policies = policies).start()
        router.raisePaceOf(upstreams().map { it.id }.filter { it.text.startsWith("engine") })
        router.listUpstreams(upstreams() + upstream(NEW.text))
        router.advance(10)
        repeat(40) { router.sendRequest("/review/$it", prompt = promptOf(100, 10)) }
        router.tables.upstreams.getValue(NEW).inFlight shouldBeLessThanOrEqual 1
        router.refusals.shouldBeEmpty()
        router.decisions() shouldContain DecisionKind.UPSTREAM_PACED
    }

    "a service whose upstreams are all limited serves every request" {
        // Guards against refusals by a limit that protects an upstream from nothing worse than a queue.
        val router = RouterHarness(policies = LoadPolicies(upstreamPacing = PolicySwitch.ON)).start()
        repeat(40) { router.sendRequest("/review/$it", prompt = promptOf(100, 10)) }
        router.refusals.shouldBeEmpty()
        router.sentAttempts shouldHaveSize 40
    }
})

private fun coldConfiguration(): ForwardingConfiguration {
    val configuration = configurationOf(1, null)
    val group = configuration.groups.getValue(ENGINES).copy(cold = ColdSettings(3_000, 18.0))
    return configuration.copy(groups = configuration.groups.mutate { it[ENGINES] = group })
}

/** Sends [count] requests, which all end at once, and returns how many [upstream] got. */
private fun RouterHarness.requestsTo(upstream: UpstreamId, count: Int): Int {
    val numbers = List(count) { sendRequest("/review/$it", prompt = promptOf(100, 10)) }
    val sent = numbers.filter { attemptsOf(it).isNotEmpty() }
    val received = sent.count { attemptsOf(it).single().upstream.id == upstream }
    sent.forEach { endAttempt(it, Delivered(events = 1, load = null)) }
    return received
}

/** Ends the limits of [upstreams], as if they had been in use for long. */
private fun RouterHarness.raisePaceOf(upstreams: List<UpstreamId>) {
    repeat(2) {
        val numbers = List(30) { sendRequest("/review/warm", prompt = promptOf(100, 10)) }
        advance(10)
        numbers.forEach { post(FirstEventArrived(it, attemptsOf(it).last().attempt, load = null)) }
        numbers.forEach { endAttempt(it, Delivered(events = 1, load = null)) }
    }
    upstreams.forEach { tables.upstreams.getValue(it).pace?.ramp shouldBe null }
}

private fun RouterHarness.decisions(): List<DecisionKind> =
    effects.filterIsInstance<LogDecision>().map { it.decision.kind }
