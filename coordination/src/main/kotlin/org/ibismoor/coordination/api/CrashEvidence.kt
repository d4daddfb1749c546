/**
 * Evidence on which prompt part makes engines crash. Each part of a request that had not begun when its engine crashed
 * is a candidate for that crash. An answer that begins on a part clears it of all earlier crashes, since an engine
 * never begins an answer on a fatal part.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import kotlin.math.abs

/** Losses at one engine within this time belong to one crash, as routers notice and report it at different times. */
internal const val CRASH_SPAN_MILLIS = 2_500L

private const val EVIDENCE_LIFETIME_MILLIS = 30_000L
private const val MAXIMUM_CRASHES = 64
private const val MAXIMUM_CANDIDATES = 2_048
private const val MAXIMUM_PROMPTS_OF_PART = 4

/** A crash of the engine at address [engine]; [isExplained] if a quarantined part was present. */
data class CrashRow(
    val engine: String,
    val group: UpstreamGroupId,
    val at: Timestamp,
    /** Prompt requests of the group that have begun since then, by the router that reported them. */
    val answersSince: PersistentMap<RouterId, Int> = persistentHashMapOf(),
    val isExplained: Boolean = false,
)

/** Crashes at which a part was present since an answer last began on it, with the last parts of the lost prompts. */
data class CandidateRow(
    val crashes: PersistentMap<Long, PersistentSet<String>> = persistentHashMapOf(),
    val begunAt: Timestamp? = null,
) {
    fun without(numbers: Set<Long>): CandidateRow =
        if (numbers.none { it in crashes }) this else copy(crashes = crashes.mutate { it.keys.removeAll(numbers) })
}

data class CrashEvidence(
    val crashes: PersistentMap<Long, CrashRow> = persistentHashMapOf(),
    val candidates: PersistentMap<String, CandidateRow> = persistentHashMapOf(),
    val nextCrash: Long = 1,
) {
    val isEmpty: Boolean get() = crashes.isEmpty() && candidates.isEmpty()

    /**
     * Adds what [observer] saw of a [crash] at [at]; the same crash may be reported by many and repeatedly. In a full
     * table it takes the place of the oldest ones.
     */
    fun withCrash(observer: RouterId, crash: EngineCrash, at: Timestamp): CrashEvidence {
        val known = numberOf(crash.engine, at)
        if (known == null && crashes.size >= MAXIMUM_CRASHES) {
            val oldest = crashes.minOf { (_, row) -> row.at }
            return if (at <= oldest) this else withoutCrashes { it.at == oldest }.withCrash(observer, crash, at)
        }
        val number = known ?: nextCrash
        val row = crashes[number] ?: CrashRow(crash.engine, crash.group, at)
        val answers = maxOf(row.answersSince[observer] ?: 0, crash.answersBegunSince)
        val next = copy(
            crashes = crashes.put(number, row.copy(answersSince = row.answersSince.put(observer, answers))),
            nextCrash = maxOf(nextCrash, number + 1),
        )
        return if (row.isExplained) next else next.withCandidates(number, at, crash.parts)
    }

    private fun withCandidates(number: Long, at: Timestamp, parts: Map<String, List<String>>): CrashEvidence =
        copy(
            candidates = candidates.mutate { table ->
                for ((part, prompts) in parts) {
                    val row = table[part] ?: CandidateRow().takeIf { table.size < MAXIMUM_CANDIDATES }
                    val isCleared = row?.begunAt?.let { it >= at } ?: false
                    if (row == null || isCleared) continue
                    val known = row.crashes[number] ?: persistentHashSetOf()
                    val merged = known.addAll(prompts.take(MAXIMUM_PROMPTS_OF_PART - known.size))
                    table[part] = row.copy(crashes = row.crashes.put(number, merged))
                }
            },
        )

    /** An answer of [group] began at [observer]. */
    fun withAnswerBegun(observer: RouterId, group: UpstreamGroupId): CrashEvidence {
        val rows = crashes.filterValues { it.group == group }
        if (rows.isEmpty()) return this
        val changed = crashes.mutate { table ->
            rows.forEach { (number, row) ->
                val answers = (row.answersSince[observer] ?: 0) + 1
                table[number] = row.copy(answersSince = row.answersSince.put(observer, answers))
            }
        }
        return copy(crashes = changed)
    }

    /** An answer began at [at] on a prompt with [part]. */
    fun withBegun(part: String, at: Timestamp): CrashEvidence {
        val row = candidates[part] ?: return this
        val begunAt = row.begunAt?.let { maxOf(it, at) } ?: at
        val earlier = row.crashes.keys.filter { number -> crashes[number]?.let { it.at <= begunAt } ?: true }.toSet()
        return copy(candidates = candidates.put(part, row.without(earlier).copy(begunAt = begunAt)))
    }

    /** Crashes at which [part] was present have their culprit and do not count against other parts. */
    fun withCulprit(part: String): CrashEvidence = withExplained(candidates[part]?.crashes?.keys.orEmpty().toSet())

    /** The crash of [engine] at [at] has a known culprit. */
    fun withExplainedCrash(engine: String, at: Timestamp): CrashEvidence =
        withExplained(setOfNotNull(numberOf(engine, at)))

    private fun withExplained(numbers: Set<Long>): CrashEvidence {
        if (numbers.all { crashes[it]?.isExplained == true }) return this
        val explained = crashes.mutate { table ->
            numbers.forEach { number -> table[number]?.let { table[number] = it.copy(isExplained = true) } }
        }
        return copy(crashes = explained, candidates = candidatesWithout(numbers))
    }

    /** Removes crashes, such as those that turned out to be none since the engine continued its earlier requests. */
    fun withoutCrashes(isRemoved: (CrashRow) -> Boolean): CrashEvidence {
        val numbers = crashes.filterValues(isRemoved).keys
        if (numbers.isEmpty()) return this
        return copy(crashes = crashes.mutate { it.keys.removeAll(numbers) }, candidates = candidatesWithout(numbers))
    }

    private fun candidatesWithout(numbers: Set<Long>): PersistentMap<String, CandidateRow> =
        candidates.mutate { table ->
            table.entries.toList().forEach { (part, row) -> table[part] = row.without(numbers) }
        }

    private fun numberOf(engine: String, at: Timestamp): Long? =
        crashes.entries.firstOrNull { (_, row) -> row.engine == engine && abs(row.at - at) < CRASH_SPAN_MILLIS }?.key
}

/** The same for a part that may not be a candidate, so that later reports of earlier crashes do not count. */
fun CrashEvidence.withCleared(part: String, at: Timestamp): CrashEvidence =
    copy(candidates = candidates.put(part, candidates[part] ?: CandidateRow())).withBegun(part, at)

fun CrashEvidence.withoutExpired(now: Timestamp): CrashEvidence {
    val next = if (isEmpty) this else withoutCrashes { now - it.at > EVIDENCE_LIFETIME_MILLIS }
    val stale = next.candidates.filterValues { row ->
        val isBegunLately = row.begunAt?.let { now - it <= EVIDENCE_LIFETIME_MILLIS } ?: false
        row.crashes.isEmpty() && !isBegunLately
    }.keys
    if (stale.isEmpty()) return next
    return next.copy(candidates = next.candidates.mutate { it.keys.removeAll(stale) })
}
