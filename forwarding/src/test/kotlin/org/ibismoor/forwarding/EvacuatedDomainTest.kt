package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.CancelAttempt
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendReport
import org.ibismoor.forwarding.api.StreamContinuation

private val NORTH = FailureDomainId("north")
private val SOUTH = FailureDomainId("south")
private val LOST = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)
private const val LEADER = "10.0.0.1"

/** An order is in force at every router this long after its confirmation. */
private const val EVACUATION_LIMIT_MILLIS = 5_000L
private const val REPORT_TIMEOUT_MILLIS = 800L

class EvacuatedDomainTest : StringSpec({
    "no request goes to an evacuated domain, and all upstreams serve again after its end" {
        val router = startedRouter()
        router.evacuate(1, NORTH)
        val numbers = List(30) { router.sendRequest("/status/$it") }
        router.domainsOf(numbers) shouldBe setOf(SOUTH)
        numbers.forEach { router.endAttempt(it, Delivered(0, null)) }
        router.evacuate(2)
        router.domainsOf(List(30) { router.sendRequest("/status/$it") }) shouldBe setOf(NORTH, SOUTH)
    }

    "a request that runs in the domain finishes there" {
        // Guards against an evacuation that cuts answers off.
        val router = startedRouter(northOnly())
        val number = router.sendRequest("/status/1")
        router.evacuate(1, NORTH)
        router.advance(500)
        router.endAttempt(number, Delivered(0, null))
        router.refusals.shouldBeEmpty()
        router.effects.filterIsInstance<CancelAttempt>().shouldBeEmpty()
        router.tables.requests.size shouldBe 0
    }

    "a retry and the attempt beside a silent one stay out of the domain" {
        // Guards against an exception for requests that have been sent before.
        repeat(20) {
            val router = startedRouter(seed = it + 1L)
            val retried = router.sendRequest("/status/1")
            val silent = router.sendRequest("/status/2")
            router.evacuate(1, NORTH)
            router.endAttempt(retried, LOST)
            router.post(AttemptSilent(silent, 1, silence = 1, isResumable = true))
            val later = router.attemptsOf(retried).drop(1) + router.attemptsOf(silent).drop(1)
            later.map { attempt -> attempt.upstream.domain }.toSet() - SOUTH shouldBe emptySet()
        }
    }

    "a silent request whose other upstreams are evacuated goes on where it is" {
        // Guards against a refusal of a request that an upstream still runs.
        val router = startedRouter(northOnly())
        val number = router.sendRequest("/status/1")
        router.evacuate(1, NORTH)
        router.post(AttemptSilent(number, 1, silence = 1, isResumable = true))
        router.refusals.shouldBeEmpty()
        router.attemptsOf(number) shouldHaveSize 1
        router.endAttempt(number, Delivered(0, null))
        router.refusals.shouldBeEmpty()
    }

    "a request whose upstreams are all evacuated is refused at once as not run" {
        // Guards against a request that waits for tokens or an upstream until its deadline.
        val router = startedRouter(northOnly(), budget = 1_000_000)
        router.evacuate(1, NORTH)
        listOf("/status/1", "/booking/1", "/chat/1").forEach { path ->
            val refusal = router.refusalOf(router.sendRequest(path, prompt = promptOf(100, 10))).shouldNotBeNull()
            refusal.reason shouldBe RefusalReason.EVACUATED
            refusal.outcome shouldBe Outcome.NOT_RUN
            refusal.retryAfterMillis shouldBe 1_000L
        }
        router.sentAttempts.shouldBeEmpty()
        router.tables.requests.size shouldBe 0
        router.tables.allowances.values.sumOf { it.reserved } shouldBe 0L
    }

    "a request that an upstream refused before the order is refused as not run" {
        val router = startedRouter(northOnly())
        val number = router.sendRequest("/booking/1")
        router.evacuate(1, NORTH)
        router.endAttempt(number, NotExecuted(503, isOtherUpstream = false, load = null))
        val refusal = router.refusalOf(number).shouldNotBeNull()
        refusal.reason shouldBe RefusalReason.EVACUATED
        refusal.outcome shouldBe Outcome.NOT_RUN
    }

    "a stream whose version exists only in the domain is refused" {
        // Guards against a stream that goes on at another version since its own is evacuated.
        val south = engines("new", SECOND_VERSION, count = 2).map { it.copy(domain = SOUTH) }
        val router = startedRouter(engines("old", FIRST_VERSION, count = 2) + south)
        val number = generateSequence { router.sendRequest("/chat/1", prompt = promptOf(100, 10)) }
            .first { router.attemptsOf(it).single().upstream.version == FIRST_VERSION }
        router.post(FirstEventArrived(number, 1, null))
        router.endAttempt(number, Delivered(3, null))
        router.evacuate(1, NORTH)
        val refusal = router.refusalOf(router.continueStream("call-${number.value}")).shouldNotBeNull()
        refusal.reason shouldBe RefusalReason.VERSION_GONE
        refusal.outcome shouldBe Outcome.NOT_RUN
    }

    "the list with the highest log index is kept, from whatever replica it comes" {
        // Guards against a replica that lags and ends an evacuation at the routers that it answers.
        val router = startedRouter()
        router.evacuate(7, NORTH)
        router.evacuate(5)
        router.evacuatedDomains shouldBe listOf(NORTH)
        router.answerOfFollower(EvacuationList(6, listOf(SOUTH)))
        router.evacuatedDomains shouldBe listOf(NORTH)
        router.answerOfFollower(EvacuationList(8, listOf(SOUTH)))
        router.evacuatedDomains shouldBe listOf(SOUTH)
        router.post(ReportAnswered(ReportAnswer(true, null, emptyList()), null))
        router.evacuatedDomains shouldBe listOf(SOUTH)
        val decisions = router.effects.filterIsInstance<LogDecision>().map { it.decision.kind }
        decisions.count { it == DecisionKind.EVACUATIONS_CHANGED } shouldBe 2
    }

    "a router is not ready before the leader's list" {
        // Guards against a restarted router that sends to a domain that was evacuated before.
        val router = RouterHarness()
        router.answerOfFollower(EvacuationList(7, listOf(NORTH)))
        router.tables.state shouldBe RouterState.STARTING
        router.start(entries = northOnly())
        router.tables.state shouldBe RouterState.READY
        router.evacuatedDomains shouldBe listOf(NORTH)
        router.refusalOf(router.sendRequest("/status/1"))?.reason shouldBe RefusalReason.EVACUATED
    }

    "a router that is cut off from the leader learns of an order from the other replicas in time" {
        // Guards against a router that reports to the leader alone, or follows its name while it does not answer.
        (1L..20L).forEach { seed ->
            val router = startedRouter(seed = seed)
            router.isControlUnreachable = true
            router.millisUntilEvacuated() shouldBeLessThanOrEqual EVACUATION_LIMIT_MILLIS
        }
    }

    "a router that is cut off from all control processes keeps its list" {
        val router = startedRouter()
        router.evacuate(1, NORTH)
        router.isControlUnreachable = true
        repeat(10) {
            router.advance(REPORT_TIMEOUT_MILLIS)
            router.post(ReportLost("timeout"))
        }
        router.evacuatedDomains shouldBe listOf(NORTH)
        router.domainsOf(List(10) { router.sendRequest("/status/$it") }) shouldBe setOf(SOUTH)
    }

    "a change is logged with the domains before and after" {
        val router = startedRouter()
        router.evacuate(3, NORTH)
        val decision = router.effects.filterIsInstance<LogDecision>().map { it.decision }
            .single { it.kind == DecisionKind.EVACUATIONS_CHANGED }
        decision.facts.map { it.name to it.value } shouldContain ("domains" to "north")
        decision.facts.map { it.name to it.value } shouldContain ("before" to "")
    }
})

private fun northOnly(): List<UpstreamEntry> = upstreams()

/** One of the three upstreams of each group is in another failure domain. */
private fun twoDomains(): List<UpstreamEntry> =
    upstreams().map { if (it.id.text.endsWith("2")) it.copy(domain = SOUTH) else it }

private fun startedRouter(
    entries: List<UpstreamEntry> = twoDomains(),
    budget: Long? = null,
    seed: Long = 1,
): RouterHarness = RouterHarness(budget, seed = seed).start(configurationOf(1, budget), entries)

/** The leader answers with [domain] evacuated as of log [index], or with none. */
private fun RouterHarness.evacuate(index: Long, domain: FailureDomainId? = null) {
    val list = EvacuationList(index, listOfNotNull(domain))
    val answer = ReportAnswer(true, null, emptyList(), evacuations = list)
    post(ReportAnswered(answer, null))
}

private fun RouterHarness.answerOfFollower(list: EvacuationList) {
    val replicas = listOf(bootstrapReplica(LEADER), bootstrapReplica("10.0.0.9"))
    post(ReportAnswered(ReportAnswer(false, replicas.first(), replicas, evacuations = list), null))
}

private val RouterHarness.evacuatedDomains: List<FailureDomainId> get() = tables.fleet.evacuations?.domains.orEmpty()

private fun RouterHarness.domainsOf(numbers: List<RequestNumber>): Set<FailureDomainId> =
    numbers.map { attemptsOf(it).single().upstream.domain }.toSet()

/** The leader answers no report, and the other replica names it as the leader. */
private fun RouterHarness.millisUntilEvacuated(): Long {
    val startedAt = now
    var answered = effects.filterIsInstance<SendReport>().size
    while (evacuatedDomains.isEmpty() && now - startedAt < 2 * EVACUATION_LIMIT_MILLIS) {
        val reports = effects.filterIsInstance<SendReport>()
        if (reports.size == answered) {
            advance(10)
        } else {
            answered = reports.size
            if (reports.last().host == LEADER) {
                advance(REPORT_TIMEOUT_MILLIS)
                post(ReportLost("timeout"))
            } else {
                answerOfFollower(EvacuationList(1, listOf(NORTH)))
            }
        }
    }
    return now - startedAt
}

private fun RouterHarness.continueStream(firstCall: String): RequestNumber {
    val number = RequestNumber(100_000)
    val head = RequestHead(
        callId = "call-later",
        host = "desk.example",
        path = "/chat/1",
        key = KEY,
        deadlineMillis = 4_000,
        prompt = promptOf(100, 10),
        digest = RequestDigest("later"),
        continuation = StreamContinuation(firstCall),
    )
    post(RequestArrived(number, head))
    return number
}
