/**
 * Applies the leader's quarantines of requests: a request with a quarantined digest is refused before it is sent. A
 * router without contact with a leader decides on the crashes that it has seen itself, by the same rule.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.RequestCrashTables
import org.ibismoor.coordination.api.RequestQuarantineUpdate
import org.ibismoor.coordination.api.isConfirmed
import org.ibismoor.coordination.api.isProbeNeeded
import org.ibismoor.coordination.api.isRequestQuarantined
import org.ibismoor.coordination.api.requestQuarantineMillis
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.CrashedRequestTables
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.HeldRequestQuarantine
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestRow

/** Without a leader, a quarantine outlasts the time of its first probe by this much, as nobody else may probe. */
private const val LEADERLESS_MILLIS = 60_000L

/** Shortest time after which a refused caller is told to retry. */
private const val MINIMUM_RETRY_AFTER_MILLIS = 1_000L

internal class RequestQuarantineSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val answers = tick.messages.filterIsInstance<ReportAnswered>().map { it.answer }.filter { it.isLeading }
        return foldSteps(tables, answers) { table, answer ->
            changeQuarantines(table, table.crashedRequests.withUpdate(answer.requests, tick.now))
        }
            .then { changeQuarantines(it, decideLocally(it, tick).withoutExpired(tick.now)) }
            .then { refuseQuarantined(it, tick.now) }
    }

    /** A leader that has nothing to say may be of a version without quarantines, so those in force stay. */
    private fun CrashedRequestTables.withUpdate(
        update: RequestQuarantineUpdate?,
        now: Timestamp,
    ): CrashedRequestTables {
        if (update == null) return if (suspects.isEmpty()) this else copy(suspects = emptySet())
        val rows = update.quarantines.associate { it.digest to heldQuarantine(it, now) }
        return copy(suspects = update.suspects.toSet(), quarantines = rows.toPersistentHashMap())
    }

    private fun CrashedRequestTables.heldQuarantine(held: QuarantinedRequest, now: Timestamp): HeldRequestQuarantine =
        newQuarantine(held.crashes, held.remainingMillis, now).copy(
            isProbeAllowed = held.isProbeAllowed,
            probe = quarantines[held.digest]?.probe?.takeIf { held.isProbeAllowed },
        )

    /** Quarantines the requests of new crashes if no leader can decide. */
    private fun decideLocally(tables: ForwardingTables, tick: Tick<ForwardingMessage>): CrashedRequestTables {
        val crashed = tables.crashedRequests
        val hasLoss = tick.messages.any { it is AttemptEnded && it.result is AnswerLost }
        if (!hasLoss || !tables.isControlLost(tick.now, settings)) return crashed
        val rows = crashed.evidence.requests
            .filterValues { it.lastCrashAt == tick.now }
            .mapValues { (digest, _) -> crashed.evidence.accusationOf(digest) }
            .filterValues(::isRequestQuarantined)
            .filter { (digest, row) -> row.count > (crashed.quarantines[digest]?.crashes ?: 0) }
            .mapValues { (_, row) ->
                newQuarantine(row.count, requestQuarantineMillis(row.count, isConfirmed(row)), tick.now)
            }
        return if (rows.isEmpty()) crashed else crashed.copy(quarantines = crashed.quarantines.putAll(rows))
    }

    private fun changeQuarantines(tables: ForwardingTables, next: CrashedRequestTables): ForwardingStep {
        val before = tables.crashedRequests.quarantines
        val after = next.quarantines
        val quarantined = after.filter { (digest, row) -> before[digest]?.crashes != row.crashes }
            .map { (digest, row) -> decisionOn(DecisionKind.REQUEST_QUARANTINED, digest, row) }
        val released = before.filterKeys { it !in after }
            .map { (digest, row) -> decisionOn(DecisionKind.REQUEST_RELEASED, digest, row) }
        return ForwardingStep(tables.withExplainedCrashes(next), quarantined + released)
    }

    private fun refuseQuarantined(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        if (tables.crashedRequests.quarantines.isEmpty()) return ForwardingStep(tables)
        val requests = tables.unsentRequests()
            .filter { it.head.digest in tables.crashedRequests.quarantines }
            .sortedBy { it.number }
        return foldSteps(tables, requests) { table, request -> checkRequest(table, request, now) }
    }

    private fun checkRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val crashed = tables.crashedRequests
        val held = crashed.quarantines.getValue(request.head.digest)
        return when {
            held.probe == request.number -> ForwardingStep(tables)
            !held.isProbeAllowed || held.probe != null -> refuse(tables, request, held, now)
            else -> {
                val probed = crashed.quarantines.put(request.head.digest, held.copy(probe = request.number))
                ForwardingStep(tables.copy(crashedRequests = crashed.copy(quarantines = probed)))
            }
        }
    }

    private fun refuse(
        tables: ForwardingTables,
        request: RequestRow,
        held: HeldRequestQuarantine,
        now: Timestamp,
    ): ForwardingStep {
        val retryAfter = (held.until - now).coerceAtLeast(MINIMUM_RETRY_AFTER_MILLIS)
        val reason = RefusalReason.REQUEST_QUARANTINED
        return if (request.phase is AwaitingAllowance) {
            refuseForAllowance(tables, request, reason, retryAfter, now)
        } else {
            refuseRequest(tables, request, reason, retryAfter, now)
        }
    }
}

private fun CrashedRequestTables.withoutExpired(now: Timestamp): CrashedRequestTables {
    val expired = quarantines.filterValues { it.expiresAt <= now }.keys
    return if (expired.isEmpty()) this else copy(quarantines = quarantines.mutate { it.keys.removeAll(expired) })
}

private fun newQuarantine(crashes: Int, remainingMillis: Long, now: Timestamp): HeldRequestQuarantine {
    val until = now + remainingMillis
    return HeldRequestQuarantine(crashes, until, if (isProbeNeeded(crashes)) until + LEADERLESS_MILLIS else until)
}

private fun decisionOn(kind: DecisionKind, digest: RequestDigest, row: HeldRequestQuarantine) =
    logDecision(kind, null, "request" to digest, "crashes" to row.crashes)

internal fun ForwardingTables.withEvidence(evidence: RequestCrashTables): ForwardingTables =
    copy(crashedRequests = crashedRequests.copy(evidence = evidence))

/** Crashes under a request that crashed many upstreams accuse neither other requests nor prompt parts. */
private fun ForwardingTables.withExplainedCrashes(next: CrashedRequestTables): ForwardingTables {
    val culprits = next.quarantines.filterValues { isProbeNeeded(it.crashes) }.keys
        .filter { it in next.evidence.requests }
    if (culprits.isEmpty()) return if (next === crashedRequests) this else copy(crashedRequests = next)
    val explained = culprits.flatMap { next.evidence.requests.getValue(it).crashes }
        .fold(prompts.evidence) { table, crash -> table.withExplainedCrash(crash.upstream, crash.at) }
    val evidence = culprits.fold(next.evidence) { table, digest -> table.withCulprit(digest) }
    return copy(
        prompts = if (explained === prompts.evidence) prompts else prompts.copy(evidence = explained),
        crashedRequests = if (evidence === next.evidence) next else next.copy(evidence = evidence),
    )
}
