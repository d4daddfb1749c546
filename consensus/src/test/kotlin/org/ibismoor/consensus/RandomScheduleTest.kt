package org.ibismoor.consensus

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.internal.SafetyRule

/** The default takes about 9 s on one core. Set the system property for a longer search. */
private val SCHEDULES = System.getProperty("ibismoor.schedules", "600").toLong()
private const val FAULTY_SCHEDULES = 1_000L

private fun findViolation(options: ScheduleOptions): SafetyViolation? =
    (1..FAULTY_SCHEDULES).firstNotNullOfOrNull { seed ->
        runCatching { RandomSchedule(seed, options).run() }.exceptionOrNull() as? SafetyViolation
    }

private fun settingsWithout(rule: SafetyRule): ConsensusSettings =
    ScheduleOptions().settings.copy(disabledRules = setOf(rule))

/**
 * Guards against interleavings of faults that lose committed entries or let logs diverge, and against random schedules
 * that would not detect one.
 */
class RandomScheduleTest : StringSpec({
    "the log stays safe under random faults, and the group makes progress after they end" {
        val groups = (1..SCHEDULES).map { seed ->
            withClue("seed $seed") { RandomSchedule(seed, ScheduleOptions()).run() }
        }
        val replicas = groups.flatMap { it.replicas.values }
        withClue("the schedules cover elections, snapshots, reads and replaced replicas") {
            groups.sumOf { it.tables(it.leader()).term } shouldBeGreaterThan 3 * SCHEDULES
            groups.sumOf { it.checker.commitIndex } shouldBeGreaterThan 20 * SCHEDULES
            groups.sumOf { group -> group.effects.count { it.second is RestoreSnapshot } } shouldBeGreaterThan 200
            groups.sumOf { group -> group.effects.count { it.second is ConfirmReadIndex } } shouldBeGreaterThan 500
            replicas.count { it.id.epoch > 2 && it.appliedIndex > 0 } shouldBeGreaterThan 200
        }
    }

    "the search detects messages that are sent before their records are synced" {
        findViolation(ScheduleOptions(order = EffectOrder.MESSAGES_FIRST)).shouldNotBeNull()
    }

    "the search detects entries that are applied before the commit index is synced" {
        findViolation(ScheduleOptions(order = EffectOrder.COMMITS_FIRST)).shouldNotBeNull()
    }

    "the search detects votes of a replica that lost its disk and kept its epoch" {
        val settings = settingsWithout(SafetyRule.OUTSIDER_DOES_NOT_VOTE)
        findViolation(ScheduleOptions(settings, isEpochKept = true)).shouldNotBeNull()
    }

    listOf(SafetyRule.VOTE_FOR_COMPLETE_LOG, SafetyRule.VOTE_ONCE, SafetyRule.ONE_CHANGE_AT_A_TIME).forEach { rule ->
        "the search detects the fault when the rule $rule is disabled" {
            findViolation(ScheduleOptions(settingsWithout(rule))).shouldNotBeNull()
        }
    }
})
