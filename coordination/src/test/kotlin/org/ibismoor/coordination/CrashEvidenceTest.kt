package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.CrashEvidence
import org.ibismoor.coordination.api.EngineCrash
import org.ibismoor.coordination.api.culprit
import org.ibismoor.coordination.api.momentsOf
import org.ibismoor.coordination.api.neverBegunParts
import org.ibismoor.coordination.api.suspects
import org.ibismoor.coordination.api.withCleared
import org.ibismoor.coordination.api.withoutExpired
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId

private const val FATAL = "dead"
private val ROUTER = RouterId("router-1")
private val GROUP = UpstreamGroupId("engines")

class CrashEvidenceTest : StringSpec({
    "a part that was present at three crashes and on which no answer began is the culprit" {
        threeCrashes().culprit() shouldBe FATAL
    }

    "an answer that began on a part clears it" {
        // Guards against a quarantine of a sound part that many requests share.
        threeCrashes().withBegun(FATAL, Timestamp(4_000)).culprit().shouldBeNull()
    }

    "a late report of a crash before an answer began does not count" {
        // Guards against reports that are repeated, so that a cleared part would be suspected again.
        val cleared = threeCrashes().withBegun(FATAL, Timestamp(4_000))
        val repeated = cleared.crash("a", 1_000, "own-1").crash("b", 2_000, "own-2").crash("c", 3_000, "own-3")
        repeated.culprit().shouldBeNull()
        repeated.suspects() shouldBe emptyList()
    }

    "the same crash reported by several routers at different times counts once" {
        val evidence = listOf(1_000L, 1_100L, 1_400L, 900L).fold(CrashEvidence()) { table, at ->
            table.crash("a", at, "own-$at")
        }
        evidence.suspects() shouldBe emptyList()
    }

    "engines that fail at one moment do not make their parts suspects" {
        // Guards against a quarantine after a loss of power.
        val evidence = List(9) { "engine-$it" }.foldIndexed(CrashEvidence()) { index, table, engine ->
            table.crash(engine, 1_000L + index * 20, "own-$index")
        }
        evidence.suspects() shouldBe emptyList()
    }

    "no part is the culprit while no other answers begin" {
        // Guards against a quarantine of every part while a whole group is down.
        crashes(answers = 0).culprit().shouldBeNull()
    }

    "the retries of one request do not make its parts culprits" {
        // Guards against a quarantine of a rare part whose only request met three crashes in turn.
        val evidence = CrashEvidence().crash("a", 1_000, "own").crash("b", 2_000, "own").crash("c", 3_000, "own")
        evidence.withAnswers().culprit().shouldBeNull()
    }

    "an engine that crashes repeatedly does not at once incriminate the parts that it is preferred for" {
        val once = listOf(1_000L, 4_000L, 7_000L)
        val evidence = once.fold(CrashEvidence()) { table, at -> table.crash("a", at, "own-$at") }.withAnswers()
        evidence.culprit().shouldBeNull()
        evidence.crash("a", 10_000, "own-4").crash("a", 13_000, "own-5").culprit() shouldBe FATAL
    }

    "sound parts that were present at some of the crashes are no longer suspects once the culprit is known" {
        // Guards against a quarantine of the parts of requests that a fatal one takes with it.
        val others = threeCrashes("bystander")
            .crash("a", 1_000, "own-1", FATAL)
            .crash("b", 2_000, "own-2", FATAL)
            .crash("c", 3_000, "own-3", FATAL)
            .crash("d", 4_000, "own-4", FATAL)
        others.culprit() shouldBe FATAL
        others.withCulprit(FATAL).suspects() shouldBe emptyList()
    }

    "of two parts that were present at the same crashes none is the culprit" {
        val evidence = threeCrashes().crash("a", 1_000, "own-1", "twin").crash("b", 2_000, "own-2", "twin")
        evidence.crash("c", 3_000, "own-3", "twin").culprit().shouldBeNull()
    }

    "a part on which no answer ever began is named although a whole group is down" {
        // Guards against a fatal part that takes all engines at once, so that nothing begins to tell it from others.
        crashes(answers = 0).neverBegunParts() shouldBe listOf(FATAL)
    }

    "a part on which an answer began before the crashes is not named while a whole group is down" {
        // Guards against a quarantine of the parts that most requests share.
        val begun = CrashEvidence().withCleared(FATAL, Timestamp(500))
        val evidence = begun.crash("a", 1_000, "own-1").crash("b", 2_000, "own-2").crash("c", 3_000, "own-3")
        evidence.neverBegunParts().shouldBeEmpty()
    }

    "of the parts on which no answer ever began, those present at fewer crashes are not named" {
        // Guards against a quarantine of new parts that a fatal one takes with it.
        val others = crashes(answers = 0, "bystander")
        listOf("a" to 1_000L, "b" to 2_000L, "c" to 3_000L, "d" to 4_000L).fold(others) { table, (engine, at) ->
            table.crash(engine, at, "own-$at", FATAL)
        }.neverBegunParts() shouldBe listOf(FATAL)
    }

    "engines that crash quickly one after the other, each on a repeated request, are distinct moments" {
        // Guards against a fatal part that is taken for a loss of power, as its requests are repeated within 100 ms.
        chain(intervalMillis = 60) { "own-${it / 2}" }.momentsOf(FATAL) shouldBe 3
    }

    "engines that crash quickly one after the other with different requests are no moment" {
        // Guards against a quarantine after a loss of power that takes a few hundred milliseconds.
        chain(intervalMillis = 40) { "own-$it" }.suspects().shouldBeEmpty()
    }

    "the only part without an answer that was present at all crashes of a group failure is named" {
        // Guards against a frequent fatal part whose crashes at many engines look like a loss of power.
        val shared = CrashEvidence().withCleared("shared", Timestamp(500))
        groupFailure(shared) { listOf("shared", FATAL, "session-$it") }.neverBegunParts() shouldBe listOf(FATAL)
    }

    "no part is named after a group failure if several without an answer were present at all its crashes" {
        // Guards against a quarantine of sound parts after a loss of power soon after the start of the routers.
        groupFailure(CrashEvidence()) { listOf("shared", FATAL) }.neverBegunParts().shouldBeEmpty()
    }

    "a part without an answer that was present at some crashes of a group failure is not named" {
        // Guards against a quarantine of a new prompt part that some engines were reading when they lost power.
        groupFailure(CrashEvidence()) { if (it == 0) listOf("session") else listOf(FATAL) }.neverBegunParts()
            .shouldBeEmpty()
    }

    "evidence expires" {
        val evidence = threeCrashes().withBegun(FATAL, Timestamp(4_000))
        evidence.withoutExpired(Timestamp(40_000)) shouldBe CrashEvidence(nextCrash = 4)
    }

    "the tables are bounded" {
        // Guards against a leader without memory after the loss of many engines with long queues.
        val evidence = (1..200).fold(CrashEvidence()) { table, index ->
            val parts = List(50) { "part-$index-$it" }.associateWith { listOf("own") }
            table.withCrash(ROUTER, EngineCrash("engine-$index", GROUP, 0, parts, 0), Timestamp(index * 10L))
        }
        evidence.crashes.size shouldBeLessThanOrEqual 64
        evidence.candidates.size shouldBeLessThanOrEqual 2_048
    }

    "a part that crashes engines after the loss of many others is the culprit" {
        // Guards against a table that the crashes of a loss of power fill, so that none of a fatal part fits in.
        val lost = (1..64).fold(CrashEvidence()) { table, index -> table.crash("lost-$index", 500L, "lost", "shared") }
        val evidence = lost.crash("a", 3_000, "own-1").crash("b", 4_000, "own-2").crash("c", 5_000, "own-3")
        evidence.withAnswers().culprit() shouldBe FATAL
    }

    "a late report of a crash that has left the full table does not displace a newer one" {
        // Guards against reports that routers repeat, so that old crashes would take the places of new ones.
        val full = (1..70).fold(CrashEvidence()) { table, index -> table.crash("lost-$index", index * 100L, "own") }
        full.crash("lost-1", 100, "own") shouldBe full
    }

    "a crash that the engine's later answers refute does not count" {
        val evidence = threeCrashes().withoutCrashes { it.engine == "b" }
        evidence.culprit().shouldBeNull()
        evidence.suspects() shouldContain FATAL
    }
})

private fun chain(intervalMillis: Long, own: (Int) -> String): CrashEvidence =
    (0..5).fold(CrashEvidence()) { table, index ->
        table.crash("engine-$index", 1_000 + index * intervalMillis, own(index))
    }

/** Four engines that fail within a moment, each with a prompt of the parts that [partsOf] returns for its index. */
private fun groupFailure(before: CrashEvidence, partsOf: (Int) -> List<String>): CrashEvidence =
    (0..3).fold(before) { table, index ->
        partsOf(index).fold(table) { evidence, part ->
            evidence.crash("engine-$index", 1_000L + index * 20, "own-$index", part)
        }
    }

private fun threeCrashes(part: String = FATAL): CrashEvidence = crashes(answers = 20, part)

private fun crashes(answers: Int, part: String = FATAL): CrashEvidence =
    CrashEvidence().crash("a", 1_000, "own-1", part)
        .withAnswers(answers)
        .crash("b", 2_000, "own-2", part)
        .crash("c", 3_000, "own-3", part)

private fun CrashEvidence.crash(engine: String, at: Long, own: String, part: String = FATAL): CrashEvidence =
    withCrash(ROUTER, EngineCrash(engine, GROUP, 0, mapOf(part to listOf(own)), 0), Timestamp(at))

private fun CrashEvidence.withAnswers(count: Int = 20): CrashEvidence =
    (1..count).fold(this) { table, _ -> table.withAnswerBegun(ROUTER, GROUP) }
