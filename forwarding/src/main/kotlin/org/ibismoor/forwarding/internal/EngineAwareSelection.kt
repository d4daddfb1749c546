/**
 * Chooses the upstream with the lowest expected delay. For model engines the delay is the number of prompt tokens to be
 * processed before the first token: the uncached part of the prompt and the prompts queued before it. For plain
 * services it is the number of requests at the upstream. All routers derive the same preferred engine for a shared
 * prompt part by rendezvous hashing, so that the fleet processes the part once and not once for each router.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.UpstreamSelection

/** Prompt tokens that delay a first token as much as one running request. */
private const val TOKENS_PER_RUNNING = 60.0

/** Prompt tokens that delay a first token as much as one request that waits for a slot. */
private const val TOKENS_PER_WAITING = 3_000.0

/** Advantage of the preferred engine over one without the cached prompt, as a multiple of the shared tokens. */
private const val AFFINITY_FACTOR = 1.6

/** Penalty of a failure rate of 1, in prompt tokens for engines and in requests for plain services. */
private const val FAILURE_TOKENS = 40_000.0
private const val FAILURE_REQUESTS = 20.0

/** The weight of a reported load falls linearly to 0 at this age. */
internal const val LOAD_MAXIMUM_AGE_MILLIS = 2_000.0

/** Scores this close to the best tie and are drawn at random, so that routers with equal data choose differently. */
private const val TIE_MARGIN = 0.5

internal fun engineAwareSelection(): UpstreamSelection =
    UpstreamSelection { candidates, request, now, random ->
        val preferred = preferredEngine(candidates, request)
        val durations = WorkDurations(candidates, now)
        val scores = candidates.map { it to score(it, request, now, it.entry.id == preferred, durations.of(it)) }
        val best = scores.minOf { (_, score) -> score }
        val ties = scores.filter { (_, score) -> score <= best + TIE_MARGIN }.map { (row, _) -> row }
            .sortedBy { it.entry.id }
        ties[random.below(ties.size.toLong()).toInt()]
    }

/** The work that delays the request at the upstream, times the relative [duration] of work there. */
private fun score(
    row: UpstreamRow,
    request: RequestRow,
    now: Timestamp,
    isPreferred: Boolean,
    duration: Double,
): Double {
    val failures = row.failures.rateAt(now)
    val prompt = request.head.prompt ?: return plainScore(row, now, duration) + failures * FAILURE_REQUESTS
    val load = row.load
    val weight = load?.let { (1 - (now - it.reportedAt) / LOAD_MAXIMUM_AGE_MILLIS).coerceIn(0.0, 1.0) } ?: 0.0
    val waiting = (load?.waiting ?: 0) * weight * TOKENS_PER_WAITING
    val running = estimatedRequests(row, now) * TOKENS_PER_RUNNING
    val shared = prompt.parts.dropLast(1).sumOf { it.tokens }
    val affinity = if (isPreferred) shared * AFFINITY_FACTOR else 0.0
    val pending = uncachedTokens(row, request) + row.pendingPromptTokens + row.peerPendingTokens(now)
    return (pending + waiting + running) * duration + failures * FAILURE_TOKENS - affinity
}

/** Requests at the upstream and, where work takes longer or shorter than usual, the difference for this request. */
private fun plainScore(row: UpstreamRow, now: Timestamp, duration: Double): Double {
    val requests = estimatedRequests(row, now)
    return requests * duration + row.entry.slots * (duration - 1)
}

/** Estimated requests at the upstream, from this router's own count and the last reported load. */
internal fun estimatedRequests(row: UpstreamRow, now: Timestamp): Double {
    val load = row.load ?: return row.inFlight.toDouble()
    val weight = (1 - (now - load.reportedAt) / LOAD_MAXIMUM_AGE_MILLIS).coerceIn(0.0, 1.0)
    return maxOf(row.inFlight.toDouble(), (load.running + load.waiting) * weight + row.sentSinceLoad)
}

/** Prompt tokens that the upstream has to process. A part counts as cached only if all parts before it are cached. */
internal fun uncachedTokens(row: UpstreamRow, request: RequestRow): Long {
    val parts = request.head.prompt?.parts.orEmpty()
    val cached = parts.takeWhile { it.id in row.sentParts }.sumOf { it.tokens }
    return ((request.head.prompt?.inputTokens ?: 0) - cached).coerceAtLeast(0)
}

private fun preferredEngine(candidates: List<UpstreamRow>, request: RequestRow): UpstreamId? {
    val part = sharedPart(request) ?: return null
    return candidates.maxByOrNull { rendezvousHash(part.id, it.entry.id.text) }?.entry?.id
}

/** The last part of the longest prefix that other requests can share; the final part is specific to this request. */
private fun sharedPart(request: RequestRow): PromptPart? {
    val parts = request.head.prompt?.parts.orEmpty()
    return parts.getOrNull(parts.size - 2) ?: parts.lastOrNull()
}

private fun rendezvousHash(part: String, upstream: String): Long =
    SeededRandom(part.hashCode().toLong() shl Int.SIZE_BITS or upstream.hashCode().toLong().and(LOW_BITS))
        .below(Long.MAX_VALUE)

private const val LOW_BITS = 0xffffffffL
