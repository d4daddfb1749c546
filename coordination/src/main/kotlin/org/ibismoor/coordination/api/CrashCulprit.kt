/**
 * Decides which prompt part is to blame for crashes. A part is the culprit if it was present at crashes at several
 * distinct moments, at more of them than any other part, in different prompts, and no answer began on it while other
 * answers began.
 *
 * Engines that fail together are one moment, or none if they are many, and a group that is down begins no answers. A
 * sound part is present at an unrelated crash only if one of its requests waits at that engine: on common parts, some
 * answer begins between two crashes; for rare parts, several such crashes in a row are improbable. Parts of the sound
 * requests that a fatal one takes with it are present at some of its crashes, the fatal part at all of them.
 *
 * While a whole group is down no answer begins, so neither is there a culprit. A part that meets the other conditions
 * and on which no answer has ever begun, before the crashes either, is under strong suspicion all the same: the parts
 * that its requests share with others are in use, and answers have begun on them.
 */
package org.ibismoor.coordination.api

import org.ibismoor.core.api.Timestamp

private const val SUSPECT_MOMENTS = 2
private const val CULPRIT_MOMENTS = 3

/** Needed if all crashes were at one engine, which may itself be faulty. */
private const val CULPRIT_MOMENTS_OF_ONE_ENGINE = 5

/** Prompts in which a culprit was present. The retries of one unlucky request have the same last part. */
private const val CULPRIT_PROMPTS = 2

/** Other answers that must have begun since the first crash of a culprit. */
private const val CONTRAST_ANSWERS = 10

/** The part that is to blame for most crashes, if that cannot be chance. */
fun CrashEvidence.culprit(): String? = rankedParts().firstRank().singleOrNull()?.takeIf(::isImplicated)?.part

/** Parts that were present at crashes at two or more moments, those with most moments first. */
fun CrashEvidence.suspects(): List<String> =
    candidates.keys.associateWith(::momentsOf).filterValues { it >= SUSPECT_MOMENTS }.entries
        .sortedWith(compareBy({ (_, moments) -> -moments }, { (part, _) -> part }))
        .map { (part, _) -> part }

fun CrashEvidence.isSuspect(part: String): Boolean = momentsOf(part) >= SUSPECT_MOMENTS

fun CrashEvidence.firstCrashOf(part: String): Timestamp? =
    candidates[part]?.crashes?.keys?.mapNotNull { crashes[it]?.at }?.minOrNull()

/**
 * Parts that were present at as many crashes as a culprit, and on which no answer has ever begun; of these, the parts
 * that were present at most crashes, since the others may only have come with them. If there are none, the only such
 * part that was present at all crashes of a group failure, in a prompt of its own at each.
 */
fun CrashEvidence.neverBegunParts(): List<String> =
    rankedParts().filter { it.row.begunAt == null && hasEnoughCrashes(it) }.firstRank().map { it.part }
        .ifEmpty { neverBegunPartsOfGroupFailures() }

private class RankedPart(val part: String, val row: CandidateRow, val moments: Int, val prompts: Int)

/** Parts that may be to blame, those that were present at most moments and in most prompts first. */
private fun CrashEvidence.rankedParts(): List<RankedPart> =
    candidates.entries.filter { (_, row) -> row.crashes.size >= SUSPECT_MOMENTS }
        .map { (part, row) -> RankedPart(part, row, momentsOf(row), row.crashes.values.flatten().distinct().size) }
        .sortedWith(compareBy({ -it.moments }, { -it.prompts }))

private fun List<RankedPart>.firstRank(): List<RankedPart> =
    takeWhile { it.moments == first().moments && it.prompts == first().prompts }

private fun CrashEvidence.isImplicated(ranked: RankedPart): Boolean {
    // Each crash is counted for only by the routers that noticed it, often few for the first one. Answers since a later
    // crash also began since the first one.
    val answersSince = rowsOf(ranked).maxOfOrNull { it.answersSince.values.sum() } ?: 0
    return hasEnoughCrashes(ranked) && answersSince >= CONTRAST_ANSWERS
}

private fun CrashEvidence.hasEnoughCrashes(ranked: RankedPart): Boolean {
    val engines = rowsOf(ranked).map { it.engine }.distinct().size
    val neededMoments = if (engines > 1) CULPRIT_MOMENTS else CULPRIT_MOMENTS_OF_ONE_ENGINE
    return ranked.moments >= neededMoments && ranked.prompts >= CULPRIT_PROMPTS
}

private fun CrashEvidence.rowsOf(ranked: RankedPart): List<CrashRow> =
    ranked.row.crashes.keys.mapNotNull(crashes::get)
