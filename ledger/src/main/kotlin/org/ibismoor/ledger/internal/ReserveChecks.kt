/**
 * Checks of a reservation that need no tokens: repeated requests, keys that are in use, claims and their authority.
 * Each check returns the answer, or null if the request may go on.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.DurableLedgerTables
import org.ibismoor.ledger.api.HomedKey
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved

/** Bounds one amount, so that sums of amounts stay within a 64-bit number. */
private const val MAXIMUM_AMOUNT = 1_000_000_000_000L

/** A key may be minted this much ahead of the clock of its home. */
private const val KEY_TOLERANCE_MILLIS = 1_800_000L

internal fun LedgerRequest.refused(reason: RefusalReason, outcome: Outcome, status: Int? = null): Refused =
    Refused(attempt, reason, outcome, status)

internal fun checkReserve(work: LedgerWork, request: Reserve): LedgerAnswer? =
    repeatedAnswer(work.tables.durable, request)
        ?: claimRefusal(work.tables.durable, request)
        ?: keyRefusal(work, request)
        ?: homeRefusal(work, request)
        ?: budgetRefusal(work, request)

private fun repeatedAnswer(durable: DurableLedgerTables, request: Reserve): LedgerAnswer? {
    val open = durable.reservations[request.key]?.takeIf { it.attempt == request.attempt }
    val charged = durable.charges[request.key]?.takeIf { it.attempt == request.attempt && !request.isClaim }
    return when {
        request.attempt in durable.released -> request.refused(RefusalReason.CANCELLED, Outcome.MAY_HAVE_RUN)
        open != null -> Reserved(request.attempt, if (open.isRerun) request.amount else open.amount, open.isRerun)
        charged != null -> Reserved(request.attempt, charged.charge.amount)
        else -> null
    }
}

private fun claimRefusal(durable: DurableLedgerTables, request: Reserve): LedgerAnswer? =
    durable.claims[request.key]?.let { claim ->
        val refusal = heldRefusal(claim, request.body)
        request.refused(refusal.reason, refusal.outcome, refusal.recordedStatus)
    }

private fun keyRefusal(work: LedgerWork, request: Reserve): LedgerAnswer? {
    val open = work.tables.durable.reservations[request.key]
    val charged = work.tables.durable.charges[request.key]
    val body = open?.body ?: charged?.body ?: request.body
    val hasRerunLeft = charged == null || charged.reruns < work.settings.maximumReruns
    return when {
        body != request.body -> request.refused(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
        request.isClaim && charged != null ->
            request.refused(RefusalReason.ALREADY_RAN, Outcome.RAN, charged.status)
        request.isClaim && open != null -> request.refused(RefusalReason.CLAIMED, Outcome.MAY_HAVE_RUN)
        !hasRerunLeft -> request.refused(RefusalReason.RERUN_LIMIT, Outcome.RAN)
        else -> null
    }
}

/** Only the replica that a homed key names may claim it, and only while it knows every claim on it. */
private fun homeRefusal(work: LedgerWork, request: Reserve): LedgerAnswer? {
    val key = HomedKey.parse(request.key.key)?.takeIf { request.isClaim } ?: return null
    val tables = work.tables
    val age = key.ageMillis(maxOf(work.wallTime, tables.durable.latestTime))
    val isHome = key.home == tables.replica && !tables.fleet.isRetired(tables.replica)
    return when {
        !isHome -> request.refused(RefusalReason.HOME_UNAVAILABLE, Outcome.MAY_HAVE_RUN)
        age !in -KEY_TOLERANCE_MILLIS..work.settings.maximumKeyAgeMillis ->
            request.refused(RefusalReason.KEY_EXPIRED, Outcome.MAY_HAVE_RUN)
        else -> null
    }
}

private fun budgetRefusal(work: LedgerWork, request: Reserve): LedgerAnswer? {
    val tables = work.tables
    return when {
        request.amount !in 0..MAXIMUM_AMOUNT -> request.refused(RefusalReason.MALFORMED_REQUEST, Outcome.NOT_RUN)
        request.budget !in tables.fleet.budgets -> request.refused(RefusalReason.UNKNOWN_BUDGET, Outcome.NOT_RUN)
        isClosed(work, request) -> request.refused(RefusalReason.LEDGER_UNAVAILABLE, Outcome.NOT_RUN)
        else -> null
    }
}

/** A charge that the quorum has not merged and a claim within its retention cannot be dropped for a new one. */
private fun isClosed(work: LedgerWork, request: Reserve): Boolean {
    val durable = work.tables.durable
    val isChargesFull = durable.lastChargeNumber - durable.mergedCharge >= work.settings.maximumCharges
    val isClaimsFull = request.isClaim && durable.claimOrder.size >= work.settings.maximumClaims
    return isChargesFull || isClaimsFull || work.tables.fleet.isRetired(work.tables.replica)
}
