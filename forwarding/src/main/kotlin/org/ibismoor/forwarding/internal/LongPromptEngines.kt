/**
 * Keeps long prompts and streams apart. An engine that reads a long prompt produces few tokens for its streams
 * meanwhile, so that their callers see a pause. Long prompts therefore go to few engines, the same ones at all routers,
 * and other requests avoid these while there are long prompts.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow

/** Tokens of the request's own part from which a prompt counts as long. */
private const val LONG_PROMPT_TOKENS = 12_000L

/** One engine of so many is for long prompts; a smaller group has none. */
private const val ENGINES_PER_LONG_PROMPT_ENGINE = 4

/** Long prompts are kept apart until this long after the last one. */
private const val LONG_PROMPT_MEMORY_MILLIS = 30_000L

/** Prompt tokens in the queues of the engines for long prompts from which such a prompt goes to another engine. */
private const val LONG_PROMPT_ADVANTAGE_TOKENS = 30_000.0

/** Prompt tokens in the queues of the other engines from which other requests go to an engine for long prompts. */
private const val AVOIDANCE_TOKENS = 3_000.0

private const val RENDEZVOUS_KEY = "long prompts"

internal fun RequestRow.hasLongPrompt(): Boolean {
    val own = head.prompt?.parts?.lastOrNull()?.tokens ?: 0
    return own >= LONG_PROMPT_TOKENS
}

/** The engines of [candidates] for long prompts; empty if this router has sent none lately. */
internal fun longPromptEngines(candidates: List<UpstreamRow>, request: RequestRow, now: Timestamp): Set<UpstreamId> {
    val isSeparate = request.hasLongPrompt() || candidates.any { it.hasReadLongPrompt(now) }
    val count = if (isSeparate) candidates.size / ENGINES_PER_LONG_PROMPT_ENGINE else 0
    return candidates.map { it.entry.id }
        .sortedByDescending { rendezvousHash(RENDEZVOUS_KEY, it.text) }
        .take(count)
        .toSet()
}

/** Prompt tokens by which [request] prefers other engines to [engine]; negative if it prefers [engine]. */
internal fun avoidanceTokens(engine: UpstreamId, request: RequestRow, longPromptEngines: Set<UpstreamId>): Double =
    when {
        engine !in longPromptEngines -> 0.0
        request.hasLongPrompt() -> -LONG_PROMPT_ADVANTAGE_TOKENS
        else -> AVOIDANCE_TOKENS
    }

private fun UpstreamRow.hasReadLongPrompt(now: Timestamp): Boolean =
    longPromptAt?.let { now - it <= LONG_PROMPT_MEMORY_MILLIS } ?: false
