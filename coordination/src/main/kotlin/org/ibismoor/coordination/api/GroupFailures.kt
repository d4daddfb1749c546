/**
 * Finds the parts that may be to blame for a group failure, the crash of many engines of a group together.
 *
 * A frequent fatal part makes many engines fail together. It is then present at all of these crashes, each time in a
 * prompt of its own. So are parts that are in use everywhere when the engines lose power, but answers have begun on
 * those.
 */
package org.ibismoor.coordination.api

/** Parts that were present at all crashes of a group failure; whether answers have begun on them decides on them. */
fun CrashEvidence.partsOfGroupFailures(): List<String> = groupFailures().flatMap(::partsOfAll).distinct().sorted()

/** The only part of each group failure that was present at all its crashes and on which no answer has ever begun. */
internal fun CrashEvidence.neverBegunPartsOfGroupFailures(): List<String> =
    groupFailures().mapNotNull(::neverBegunPartOfAll).distinct()

private fun CrashEvidence.neverBegunPartOfAll(crashes: Set<Long>): String? =
    partsOfAll(crashes).singleOrNull { candidates.getValue(it).begunAt == null }?.takeIf { part ->
        val prompts = candidates.getValue(part).crashes.filterKeys { it in crashes }.values.flatten().distinct()
        prompts.size >= crashes.size
    }

/** Parts that were present at all of [crashes]. */
private fun CrashEvidence.partsOfAll(crashes: Set<Long>): List<String> =
    candidates.filterValues { row -> crashes.all { it in row.crashes } }.keys.toList()

/** Crashes of many engines of a group that failed together, which no known culprit explains. */
private fun CrashEvidence.groupFailures(): Set<Set<Long>> =
    crashes.filterValues { !it.isExplained }.keys
        .map { crashesTogether(it) }
        .filter { it.size > MAXIMUM_CRASHES_AT_ONCE }
        .toSet()
