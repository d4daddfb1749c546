/**
 * Chooses the upstream with the lowest expected delay. For model engines the delay is what has to be read before the
 * first token: the part of the prompt that the engine does not hold, and the prompts before it. For plain services it
 * is the number of requests at the upstream. Routers agree on a home for each shared prompt part by rendezvous hashing,
 * so that a part is read once in the fleet and not once for each router.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.PromptPart
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.UpstreamSelection

/** Prompt tokens that delay a first token as much as one running request does. */
private const val TOKENS_PER_RUNNING = 60.0

/** The same for a request that waits for a slot. */
private const val TOKENS_PER_WAITING = 3_000.0

/** Part of the shared tokens by which the home of a prompt is preferred to an engine that is not known to hold it. */
private const val HOME_PART = 1.6

/** Prompt tokens, or requests at a plain service, that a failure rate of 1 counts for. */
private const val FAILURE_TOKENS = 40_000.0
private const val FAILURE_REQUESTS = 20.0

/** A reported load counts less as it ages and nothing after this long. */
private const val LOAD_LIFE_MILLIS = 2_000.0

/** Scores closer than this are decided by lot, so that routers with the same view do not all choose the same. */
private const val TIE = 0.5

internal fun engineAwareSelection(): UpstreamSelection =
    UpstreamSelection { candidates, request, now, random ->
        val home = homeOf(candidates, request)
        val scored = candidates.map { it to score(it, request, now, it.entry.id == home) }
        val best = scored.minOf { (_, score) -> score }
        val ties = scored.filter { (_, score) -> score <= best + TIE }.map { (row, _) -> row }
            .sortedBy { it.entry.id }
        ties[random.below(ties.size.toLong()).toInt()]
    }

private fun score(row: UpstreamRow, request: RequestRow, now: Timestamp, isHome: Boolean): Double {
    val failures = row.failures.rateAt(now)
    val prompt = request.head.prompt ?: return requestsAt(row, now) + failures * FAILURE_REQUESTS
    val load = row.load
    val weight = load?.let { (1 - (now - it.at) / LOAD_LIFE_MILLIS).coerceIn(0.0, 1.0) } ?: 0.0
    val waiting = (load?.waiting ?: 0) * weight * TOKENS_PER_WAITING
    val running = requestsAt(row, now) * TOKENS_PER_RUNNING
    val shared = prompt.parts.dropLast(1).sumOf { it.tokens }
    val attraction = if (isHome) shared * HOME_PART else 0.0
    val unread = uncachedTokens(row, request) + row.pendingPromptTokens + row.peerTokens(now)
    return unread + waiting + running + failures * FAILURE_TOKENS - attraction
}

/** Requests that the upstream has as far as this router knows, by its own count and by the last report. */
private fun requestsAt(row: UpstreamRow, now: Timestamp): Double {
    val load = row.load ?: return row.inFlight.toDouble()
    val weight = (1 - (now - load.at) / LOAD_LIFE_MILLIS).coerceIn(0.0, 1.0)
    return maxOf(row.inFlight.toDouble(), (load.running + load.waiting) * weight + row.sentSinceLoad)
}

/** Prompt tokens that the upstream has to read. A part counts as held only if all parts before it are held. */
internal fun uncachedTokens(row: UpstreamRow, request: RequestRow): Long {
    val parts = request.head.prompt?.parts.orEmpty()
    val held = parts.takeWhile { it.id in row.parts }.sumOf { it.tokens }
    return ((request.head.prompt?.inputTokens ?: 0) - held).coerceAtLeast(0)
}

private fun homeOf(candidates: List<UpstreamRow>, request: RequestRow): UpstreamId? {
    val part = sharedPart(request) ?: return null
    return candidates.maxByOrNull { hash(part.id, it.entry.id.text) }?.entry?.id
}

/** The longest prefix that other requests can share: the last part belongs to this request alone. */
private fun sharedPart(request: RequestRow): PromptPart? {
    val parts = request.head.prompt?.parts.orEmpty()
    return parts.getOrNull(parts.size - 2) ?: parts.lastOrNull()
}

private fun hash(part: String, upstream: String): Long =
    SeededRandom(part.hashCode().toLong() shl Int.SIZE_BITS or upstream.hashCode().toLong().and(LOW_BITS))
        .below(Long.MAX_VALUE)

private const val LOW_BITS = 0xffffffffL
