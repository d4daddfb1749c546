/**
 * Counts the distinct moments of crashes. Engines that fail together are one moment, or none if they are many. A
 * request that is repeated makes engines fail one after the other, even if quickly.
 */
package org.ibismoor.coordination.api

import org.ibismoor.core.api.Timestamp
import kotlin.math.abs

/** Crashes of several engines within this time count as one moment. */
internal const val MOMENT_MILLIS = 100L

/** More crashes in one moment have a cause of their own, such as a loss of power. */
internal const val MAXIMUM_CRASHES_AT_ONCE = 2

/** The crash with [number] and those of other engines of its group at the same moment. */
internal fun CrashEvidence.crashesTogether(number: Long): Set<Long> {
    val crash = crashes[number] ?: return emptySet()
    return crashes.filterValues { it.group == crash.group && abs(it.at - crash.at) < MOMENT_MILLIS }.keys
}

/** Number of distinct moments of crashes at which [part] was present. */
fun CrashEvidence.momentsOf(part: String): Int = candidates[part]?.let(::momentsOf) ?: 0

internal fun CrashEvidence.momentsOf(row: CandidateRow): Int {
    if (row.crashes.size <= 1) return row.crashes.size
    val times = row.crashes.keys.filterNot { isGroupFailure(row, it) }.mapNotNull { crashes[it]?.at }.sorted()
    var moments = 0
    var last: Timestamp? = null
    for (at in times) {
        val isSameMoment = last != null && at - last < MOMENT_MILLIS
        if (isSameMoment) continue
        moments++
        last = at
    }
    return moments
}

/**
 * True if many engines failed together with the one of the crash with [number]. A prompt of the part that was lost at
 * another one of them too was repeated in between, so these engines failed one after the other.
 */
private fun CrashEvidence.isGroupFailure(row: CandidateRow, number: Long): Boolean {
    val together = crashesTogether(number)
    val prompts = row.crashes[number].orEmpty()
    val isChain = together.any { other -> other != number && row.crashes[other].orEmpty().any { it in prompts } }
    return together.size > MAXIMUM_CRASHES_AT_ONCE && !isChain
}
