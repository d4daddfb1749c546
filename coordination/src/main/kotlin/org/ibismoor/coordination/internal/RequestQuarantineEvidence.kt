/**
 * Applies the evidence in a router's report to the leader's tables of requests that crash upstreams.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.MOMENT_MILLIS
import org.ibismoor.coordination.api.RequestCrashRow
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.coordination.api.RequestQuarantineRow
import org.ibismoor.coordination.api.RequestQuarantineTables
import org.ibismoor.coordination.api.isConfirmed
import org.ibismoor.coordination.api.isProbeNeeded
import org.ibismoor.coordination.api.isRequestQuarantined
import org.ibismoor.coordination.api.requestQuarantineMillis
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

internal fun RequestQuarantineTables.withReport(report: RequestEvidence, now: Timestamp): RequestQuarantineTables {
    val withAnswers = report.answered.fold(this) { table, answer ->
        table.withAnswered(answer.digest, now + -answer.ageMillis, now)
    }
    val withCrashes = report.crashes.fold(withAnswers) { table, crash ->
        table.withCrash(crash.digest, RequestCrashRow(crash.upstream, now + -crash.ageMillis, crash.isRepeat), now)
    }
    return report.quarantines.fold(withCrashes) { table, held -> table.withTakenOver(held, now) }
}

private fun RequestQuarantineTables.withCrash(
    digest: RequestDigest,
    crash: RequestCrashRow,
    now: Timestamp,
): RequestQuarantineTables {
    val changed = evidence.withCrash(digest, crash)
    if (changed === evidence || isExplained(digest, crash)) return this
    val next = copy(evidence = changed)
    val isQuarantined = digest in quarantines || isRequestQuarantined(changed.accusationOf(digest))
    return if (isQuarantined) next.withQuarantine(digest, crash, now) else next
}

/**
 * Starts or lengthens a quarantine after a [crash]. The evidence of the first crashes may have expired or be lost with
 * its leader when a probe crashes an upstream, so the known number is counted up.
 */
private fun RequestQuarantineTables.withQuarantine(
    digest: RequestDigest,
    crash: RequestCrashRow,
    now: Timestamp,
): RequestQuarantineTables {
    val row = evidence.accusationOf(digest)
    val known = quarantines[digest]
    val sinceLast = if (known == null) 0 else crash.at - known.lastCrashAt
    val isFurther = sinceLast >= MOMENT_MILLIS || sinceLast > 0 && crash.isRepeat
    val crashes = maxOf(row.count, (known?.crashes ?: 0) + if (isFurther) 1 else 0)
    val lastCrashAt = maxOf(crash.at, known?.lastCrashAt ?: crash.at)
    if (known != null && known.crashes >= crashes) return withRow(digest, known.copy(lastCrashAt = lastCrashAt))
    val until = now + requestQuarantineMillis(crashes, isConfirmed(row) || isFurther)
    val next = withRow(digest, RequestQuarantineRow(crashes, lastCrashAt, until, known?.isTakenOver ?: false))
    return if (isProbeNeeded(crashes)) next.withCulprit(digest, now) else next
}

/** Requests that were only present at crashes of [culprit] are sound. */
private fun RequestQuarantineTables.withCulprit(culprit: RequestDigest, now: Timestamp): RequestQuarantineTables {
    val changed = evidence.withCulprit(culprit)
    if (changed === evidence) return this
    val cleared = quarantines.filter { (digest, row) ->
        val next = changed.requests[digest]?.takeIf { it != evidence.requests[digest] && !row.isTakenOver }
        next != null && !isRequestQuarantined(next)
    }.keys
    return copy(evidence = changed).withEnded(cleared, now)
}

/** True if a request that crashed more upstreams than the one with [digest] was present at [crash]. */
private fun RequestQuarantineTables.isExplained(digest: RequestDigest, crash: RequestCrashRow): Boolean {
    val count = evidence.countOf(digest) + 1
    return quarantines.any { (other, row) ->
        other != digest && isProbeNeeded(row.crashes) && count < row.crashes && evidence.hasCrash(other, crash)
    }
}

private fun RequestQuarantineTables.withAnswered(
    digest: RequestDigest,
    at: Timestamp,
    now: Timestamp,
): RequestQuarantineTables {
    val next = copy(evidence = evidence.withAnswered(digest, at))
    val row = quarantines[digest] ?: return next
    val remaining = next.evidence.requests[digest]?.takeIf { it.crashes.isNotEmpty() && !row.isTakenOver }
    val isSound = at > row.lastCrashAt || remaining != null && !isRequestQuarantined(remaining)
    return if (isSound) next.withEnded(setOf(digest), now) else next
}
