/**
 * Starts and ends quarantines of requests in the leader's tables.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.CrashEvidence
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.RequestQuarantineRow
import org.ibismoor.coordination.api.RequestQuarantineTables
import org.ibismoor.coordination.api.isProbeNeeded
import org.ibismoor.coordination.api.requestQuarantineMillis
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

/** Bound of the list that every answer to a report repeats. */
private const val MAXIMUM_QUARANTINES = 64

/** Longer than a router takes to hear of the end of a quarantine. */
private const val ENDED_MILLIS = 60_000L

/** A quarantine whose probe has been due for this long without a request is dropped. */
private const val IDLE_MILLIS = 86_400_000L

/** Takes over the quarantines in the replicated state once it is complete. Their times are counted from then on. */
internal fun CoordinationTables.withRestoredQuarantines(): CoordinationTables {
    if (requestQuarantine.isRestored || leadingSince == null || !hasAppliedEarlierTerms(this)) return this
    val now = consensus.now
    val restored = state.requestQuarantines.entries.fold(requestQuarantine) { table, (digest, crashes) ->
        val millis = requestQuarantineMillis(crashes, isConfirmed = true)
        table.withTakenOver(QuarantinedRequest(digest, crashes, millis), now)
    }
    return copy(requestQuarantine = restored.copy(isRestored = true))
}

/** Adds a quarantine that an earlier leader has decided on, unless it ended since. */
internal fun RequestQuarantineTables.withTakenOver(held: QuarantinedRequest, now: Timestamp): RequestQuarantineTables {
    val known = quarantines[held.digest]
    val isOver = held.digest in ended || held.remainingMillis <= 0 && !isProbeNeeded(held.crashes)
    if (isOver || known != null && known.crashes >= held.crashes) return this
    return withRow(held.digest, RequestQuarantineRow(held.crashes, now, now + held.remainingMillis, isTakenOver = true))
}

internal fun RequestQuarantineTables.withEnded(digests: Set<RequestDigest>, now: Timestamp): RequestQuarantineTables {
    if (digests.isEmpty()) return this
    return copy(
        quarantines = quarantines.mutate { it.keys.removeAll(digests) },
        ended = ended.mutate { table -> digests.forEach { table[it] = now } },
    )
}

/** In a full table, the quarantine after fewest crashes makes room, the one that ends first of these. */
internal fun RequestQuarantineTables.withRow(
    digest: RequestDigest,
    row: RequestQuarantineRow,
): RequestQuarantineTables {
    val least = quarantines.entries.takeIf { digest !in quarantines && it.size >= MAXIMUM_QUARANTINES }
        ?.minWithOrNull(compareBy({ (_, other) -> other.crashes }, { (_, other) -> other.until }))
    return when {
        least == null -> copy(quarantines = quarantines.put(digest, row), ended = ended.remove(digest))
        least.value.crashes > row.crashes -> this
        else -> copy(quarantines = quarantines.remove(least.key).put(digest, row), ended = ended.remove(digest))
    }
}

internal fun RequestQuarantineTables.withoutExpired(now: Timestamp): RequestQuarantineTables {
    val over = quarantines.filterValues { row ->
        if (isProbeNeeded(row.crashes)) now - row.until > IDLE_MILLIS else row.until <= now
    }.keys
    val forgotten = ended.filterValues { now - it > ENDED_MILLIS }.keys
    val kept = if (forgotten.isEmpty()) ended else ended.mutate { it.keys.removeAll(forgotten) }
    return copy(evidence = evidence.withoutExpired(now), ended = kept).withEnded(over.toSet(), now)
}

/** Crashes under a request that crashed many upstreams accuse no prompt part. */
internal fun RequestQuarantineTables.explainCrashes(prompts: CrashEvidence): CrashEvidence =
    quarantines.filterValues { isProbeNeeded(it.crashes) }.keys
        .flatMap { evidence.requests[it]?.crashes.orEmpty() }
        .fold(prompts) { table, crash -> table.withExplainedCrash(crash.upstream, crash.at) }
