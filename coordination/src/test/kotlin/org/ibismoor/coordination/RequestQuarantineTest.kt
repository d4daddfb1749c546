package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.AnsweredRequest
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.RequestBelief
import org.ibismoor.coordination.api.RequestCrash
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.core.api.RequestDigest

private val DEADLY = RequestDigest("deadly")
private val SOUND = RequestDigest("sound")
private const val SHORT_MILLIS = 10_000L
private const val LONG_MILLIS = 600_000L

class RequestQuarantineTest : StringSpec({
    "crashes that different routers report quarantine the request for all of them" {
        val leader = RequestLeader()
        leader.reportCrash("router-1", "engine-1")
        leader.report("router-9")?.suspects shouldBe listOf(DEADLY)
        leader.advance(300)
        leader.reportCrash("router-2", "engine-2")
        val held = leader.report("router-9")?.quarantines?.single()
        held?.digest shouldBe DEADLY
        (held?.remainingMillis ?: 0) shouldBeLessThanOrEqual SHORT_MILLIS
        leader.beliefs shouldContainExactly listOf(RequestBelief.SUSPECTED, RequestBelief.QUARANTINED)
    }

    "a third crash makes the quarantine long, and each further one doubles it" {
        // Guards against retries that reach upstreams each time a short quarantine ends.
        val leader = RequestLeader()
        leader.crashInTurn(3)
        (leader.heldBy("router-9")?.remainingMillis ?: 0) shouldBeGreaterThan LONG_MILLIS - 1_000
        leader.advance(1_000)
        leader.reportCrash("router-1", "engine-7")
        (leader.heldBy("router-9")?.remainingMillis ?: 0) shouldBeGreaterThan 2 * LONG_MILLIS - 1_000
    }

    "losses that several routers report of one crash count once" {
        val leader = RequestLeader()
        repeat(4) { leader.reportCrash("router-$it", "engine-1", ageMillis = 100L * it) }
        leader.heldBy("router-9").shouldBeNull()
    }

    "an answer ends a quarantine, and late reports of it do not bring it back" {
        // Guards against a sound request that was lost in two crashes by chance and stays refused.
        val leader = RequestLeader()
        leader.crashInTurn(2)
        leader.advance(100)
        val crash = RequestCrash(DEADLY, "engine-1", ageMillis = 500)
        leader.report("router-4", RequestEvidence(answered = listOf(AnsweredRequest(DEADLY, 10))))
        leader.heldBy("router-9").shouldBeNull()
        val held = QuarantinedRequest(DEADLY, crashes = 2, remainingMillis = 9_000)
        leader.report("router-1", RequestEvidence(listOf(crash), quarantines = listOf(held)))
        leader.heldBy("router-9").shouldBeNull()
        leader.beliefs.last() shouldBe RequestBelief.RELEASED
    }

    "a common request that waits at many upstreams when they lose power is not quarantined" {
        // Guards against a loss of power of all upstreams that takes the most frequent requests with it.
        val leader = RequestLeader()
        val answered = listOf(AnsweredRequest(DEADLY, 2_000))
        repeat(6) { leader.reportCrash("router-$it", "engine-$it", answered = answered) }
        leader.heldBy("router-9").shouldBeNull()
    }

    "an answer from before a loss of power ends a quarantine that rests on that loss alone" {
        val leader = RequestLeader()
        repeat(2) { leader.reportCrash("router-$it", "engine-$it") }
        leader.heldBy("router-9")?.crashes shouldBe 2
        leader.report("router-4", RequestEvidence(answered = listOf(AnsweredRequest(DEADLY, 2_000))))
        leader.heldBy("router-9").shouldBeNull()
    }

    "upstreams that fail together lead to an early probe, not to a long quarantine" {
        val leader = RequestLeader()
        repeat(5) { leader.reportCrash("router-$it", "engine-$it") }
        (leader.heldBy("router-9")?.remainingMillis ?: LONG_MILLIS) shouldBeLessThanOrEqual SHORT_MILLIS
        leader.advance(SHORT_MILLIS)
        leader.report("router-9")
        leader.heldBy("router-9")?.isProbeAllowed shouldBe true
        leader.heldBy("router-8")?.isProbeAllowed shouldBe false
    }

    "crashes of a quarantined request do not count against a sound one that was lost in them" {
        val leader = RequestLeader()
        leader.crashInTurn(2, others = listOf(SOUND))
        leader.report("router-9")?.quarantines?.map { it.digest }?.toSet() shouldBe setOf(DEADLY, SOUND)
        leader.advance(300)
        leader.reportCrash("router-1", "engine-9")
        leader.report("router-9")?.quarantines?.map { it.digest } shouldBe listOf(DEADLY)
        leader.reportCrash("router-1", "engine-1", digest = SOUND, ageMillis = 600)
        leader.report("router-9")?.quarantines?.map { it.digest } shouldBe listOf(DEADLY)
    }

    "a short quarantine ends without a probe, and the next crash makes it long" {
        val leader = RequestLeader()
        leader.crashInTurn(2)
        leader.advance(SHORT_MILLIS)
        leader.heldBy("router-9").shouldBeNull()
        leader.reportCrash("router-1", "engine-5")
        (leader.heldBy("router-9")?.remainingMillis ?: 0) shouldBeGreaterThan LONG_MILLIS - 1_000
    }

    "one router at a time may probe after a long quarantine" {
        // Guards against a retry at each router when a long quarantine is over.
        val leader = RequestLeader()
        leader.crashInTurn(3)
        leader.advance(LONG_MILLIS)
        val allowed = (1..6).count { leader.report("router-$it")?.quarantines?.single()?.isProbeAllowed == true }
        allowed shouldBe 1
        leader.advance(100)
        leader.reportCrash("router-1", "engine-1")
        (leader.heldBy("router-1")?.remainingMillis ?: 0) shouldBeGreaterThan 2 * LONG_MILLIS - 1_000
    }

    "a new leader takes over the quarantines that routers hold" {
        val held = QuarantinedRequest(DEADLY, crashes = 3, remainingMillis = 5_000)
        val leader = RequestLeader()
        leader.report("router-1", RequestEvidence(quarantines = listOf(held)))
        leader.heldBy("router-9")?.crashes shouldBe 3
    }

    "a quarantine survives a restart of all control processes" {
        // Guards against quarantines that are kept in memory only.
        val leader = RequestLeader()
        leader.crashInTurn(3)
        leader.advance(LONG_MILLIS / 2)
        leader.restart()
        leader.heldBy("router-9")?.crashes shouldBe 3
        (leader.heldBy("router-9")?.remainingMillis ?: 0) shouldBeGreaterThan LONG_MILLIS - ELECTION_MILLIS
    }

    "a quarantine survives a restart from a snapshot" {
        // Guards against a snapshot that lacks the quarantines of the log that it replaces.
        val leader = RequestLeader(CoordinationSettings(snapshotEntries = 2))
        leader.crashInTurn(3)
        repeat(6) { leader.report("router-1$it") }
        leader.restart()
        leader.heldBy("router-9")?.crashes shouldBe 3
    }

    "crashes from before a restart do not lengthen the quarantine that was restored" {
        val leader = RequestLeader()
        leader.crashInTurn(2)
        leader.restart()
        val crashes = listOf(
            RequestCrash(DEADLY, "engine-1", ageMillis = 3_000),
            RequestCrash(DEADLY, "engine-2", ageMillis = 2_700, isRepeat = true),
        )
        leader.report("router-1", RequestEvidence(crashes))
        leader.heldBy("router-9")?.crashes shouldBe 2
    }

    "a quarantine that ended does not come back with a restart" {
        val leader = RequestLeader()
        leader.crashInTurn(3)
        leader.advance(100)
        leader.report("router-4", RequestEvidence(answered = listOf(AnsweredRequest(DEADLY, 10))))
        leader.restart()
        leader.heldBy("router-9").shouldBeNull()
    }

    "quarantines are bounded, and many sound requests do not displace a deadly one" {
        val leader = RequestLeader()
        leader.crashInTurn(3)
        val digests = List(200) { RequestDigest("lost-$it") }
        leader.advance(3_000)
        repeat(2) { round ->
            val crashes = digests.map { RequestCrash(it, "engine-2$round", 0) }
            leader.report("router-5", RequestEvidence(crashes))
            leader.advance(300)
        }
        val held = leader.report("router-9")?.quarantines.orEmpty()
        held.size shouldBeLessThanOrEqual 64
        held.count { it.digest == DEADLY } shouldBe 1
        leader.advance(SHORT_MILLIS)
        leader.report("router-9")?.quarantines?.map { it.digest } shouldBe listOf(DEADLY)
    }

    "a leader without evidence says nothing" {
        RequestLeader().report("router-1").shouldBeNull()
        RequestLeader().beliefs.shouldBeEmpty()
    }
})

private fun RequestLeader.reportCrash(
    router: String,
    upstream: String,
    digest: RequestDigest = DEADLY,
    ageMillis: Long = 0,
    answered: List<AnsweredRequest> = emptyList(),
) = report(router, RequestEvidence(listOf(RequestCrash(digest, upstream, ageMillis)), answered))

private fun RequestLeader.heldBy(router: String): QuarantinedRequest? =
    report(router)?.quarantines?.firstOrNull { it.digest == DEADLY }

/** Lets the deadly request crash [count] upstreams one after the other; the [others] wait at each of them. */
private fun RequestLeader.crashInTurn(count: Int, others: List<RequestDigest> = emptyList()) =
    repeat(count) { index ->
        val crashes = (listOf(DEADLY) + others).map { RequestCrash(it, "engine-$index", 0) }
        report("router-$index", RequestEvidence(crashes))
        advance(300)
    }
