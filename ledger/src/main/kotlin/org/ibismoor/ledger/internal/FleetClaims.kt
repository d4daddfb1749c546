/**
 * Claims of plain keys in the fleet tables. A claim belongs to one attempt. A released claim leaves a row that refuses
 * late copies of its claim command, since commands may be proposed more than once and committed out of order.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestKey
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.ClaimRefused
import org.ibismoor.ledger.api.ClaimRow
import org.ibismoor.ledger.api.CompleteClaim
import org.ibismoor.ledger.api.FleetStep
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.ReleaseClaim
import org.ibismoor.ledger.api.RetainedKey

internal fun applyClaim(tables: FleetTables, command: ClaimKey): FleetStep {
    val row = tables.claims[command.key]
    val refusal = claimRefusal(tables, row, command)
    return when {
        refusal != null -> FleetStep(tables, refusal)
        row != null && !row.isReleased -> FleetStep(tables, Applied)
        else -> {
            val claim = ClaimRow(command.attempt, command.body, command.claimedAt)
            FleetStep(withNewClaim(tables, command.key, claim), Applied)
        }
    }
}

private fun claimRefusal(tables: FleetTables, row: ClaimRow?, command: ClaimKey): ClaimRefused? =
    when {
        row == null -> capacityRefusal(tables)
        row.isReleased ->
            ClaimRefused(RefusalReason.CANCELLED, Outcome.MAY_HAVE_RUN).takeIf { row.attempt == command.attempt }
        row.status == null && row.attempt == command.attempt -> null
        else -> heldRefusal(row, command.body)
    }

/** A full table refuses new claims: dropping a claim within its retention could let a request run twice. */
private fun capacityRefusal(tables: FleetTables): ClaimRefused? =
    ClaimRefused(RefusalReason.LEDGER_UNAVAILABLE, Outcome.NOT_RUN).takeIf { tables.claimOrder.size >= MAXIMUM_CLAIMS }

/** Refusal of a request with [body] whose key is claimed by another attempt or has already run. */
internal fun heldRefusal(row: ClaimRow, body: BodyDigest): ClaimRefused =
    when {
        row.body != body -> ClaimRefused(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)
        row.status != null -> ClaimRefused(RefusalReason.ALREADY_RAN, Outcome.RAN, row.status)
        else -> ClaimRefused(RefusalReason.CLAIMED, Outcome.MAY_HAVE_RUN)
    }

internal fun applyCompletion(tables: FleetTables, command: CompleteClaim): FleetStep {
    val row = tables.claims[command.key]
    val isOpen = row != null && isHeldBy(row, command.attempt)
    val next = if (row != null && isOpen) withClaim(tables, command.key, row.copy(status = command.status)) else tables
    return FleetStep(next, Applied)
}

/** A release without a claim adds a row too, since the claim command that it releases may be committed later. */
internal fun applyRelease(tables: FleetTables, command: ReleaseClaim): FleetStep {
    val row = tables.claims[command.key]
    val next = when {
        row == null -> withNewClaim(tables, command.key, releasedClaim(tables, command))
        isHeldBy(row, command.attempt) -> withClaim(tables, command.key, row.copy(isReleased = true))
        else -> tables
    }
    return FleetStep(next, Applied)
}

private fun releasedClaim(tables: FleetTables, command: ReleaseClaim): ClaimRow =
    ClaimRow(command.attempt, BodyDigest(""), tables.latestTime, isReleased = true)

private fun isHeldBy(row: ClaimRow, attempt: AttemptId): Boolean =
    row.attempt == attempt && row.status == null && !row.isReleased

private fun withClaim(tables: FleetTables, key: RequestKey, row: ClaimRow): FleetTables =
    tables.copy(claims = tables.claims.put(key, row))

/** A claim that replaces a released one starts a retention period of its own. */
private fun withNewClaim(tables: FleetTables, key: RequestKey, row: ClaimRow): FleetTables {
    val stamp = maxOf(tables.latestTime, row.claimedAt)
    val order = tables.claimOrder
    return withClaim(tables, key, row.copy(number = order.next))
        .copy(claimOrder = order.withoutEntry(tables.claims[key]?.number).plus(RetainedKey(key, stamp)))
}
