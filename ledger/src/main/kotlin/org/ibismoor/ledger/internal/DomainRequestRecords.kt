/**
 * Applies the records of router requests to the durable tables: reservations with claims, charges and releases.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RequestKey
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.ClaimRow
import org.ibismoor.ledger.api.CompleteClaim
import org.ibismoor.ledger.api.DomainChargeRow
import org.ibismoor.ledger.api.DurableLedgerTables
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.HomedKey
import org.ibismoor.ledger.api.ReleaseClaim
import org.ibismoor.ledger.api.ReleaseRecord
import org.ibismoor.ledger.api.ReleasedRow
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.ledger.api.ReservationRow

internal fun DurableLedgerTables.withReservation(record: ReservationRecord): DurableLedgerTables {
    val row = ReservationRow(
        attempt = record.attempt,
        budget = record.budget,
        amount = record.amount,
        body = record.body,
        isClaim = record.isClaim,
        isRerun = record.isRerun,
    )
    return withRerun(record).withClaim(record).withOpenReservation(record.key, row)
        .copy(latestTime = maxOf(latestTime, record.madeAt))
}

private fun DurableLedgerTables.withRerun(record: ReservationRecord): DurableLedgerTables {
    val charged = charges[record.key]?.takeIf { record.isRerun } ?: return this
    return copy(charges = charges.put(record.key, charged.copy(reruns = charged.reruns + 1)))
}

private fun DurableLedgerTables.withClaim(record: ReservationRecord): DurableLedgerTables {
    val isNew = record.isClaim && claims[record.key]?.attempt != record.attempt
    if (!isNew) return this
    val row = ClaimRow(record.attempt, record.body, record.madeAt, number = claimOrder.next)
    return copy(claims = claims.put(record.key, row), claimOrder = claimOrder.plus(record.key))
}

internal fun DurableLedgerTables.withCharge(record: ChargeRecord): DurableLedgerTables {
    val charge = record.charge
    val reservation = reservations[charge.key] ?: return this
    val row = DomainChargeRow(charge, reservation.attempt, reservation.body, record.status)
    val charged = withoutReservation(charge.key)
        .withBudget(charge.budget) { it.copy(spent = it.spent + charge.amount) }
    return charged.copy(
        charges = charged.charges.put(charge.key, row),
        chargeOrder = charged.chargeOrder.plus(charge.key),
        latestTime = maxOf(latestTime, charge.chargedAt),
    ).withCompletion(charge.key, reservation, record)
}

private fun DurableLedgerTables.withCompletion(
    key: RequestKey,
    reservation: ReservationRow,
    record: ChargeRecord,
): DurableLedgerTables {
    val claim = claims[key]
    val isComplete = claim != null && reservation.isClaim && record.charge.outcome == Outcome.RAN
    if (claim == null || !isComplete) return this
    return copy(claims = claims.put(key, claim.copy(status = record.status)))
        .withClaimReport(key, CompleteClaim(key, reservation.attempt, record.status))
}

internal fun DurableLedgerTables.withRelease(record: ReleaseRecord): DurableLedgerTables {
    val isOpen = reservations[record.key]?.attempt == record.attempt
    val closed = (if (isOpen) withoutReservation(record.key) else this).withReleased(record)
    return if (record.keepsClaim) closed else closed.withoutClaim(record)
}

private fun DurableLedgerTables.withReleased(record: ReleaseRecord): DurableLedgerTables {
    if (record.attempt in released) return this
    val row = ReleasedRow(releasedOrder.next, record.isSettled)
    return copy(released = released.put(record.attempt, row), releasedOrder = releasedOrder.plus(record.attempt))
}

private fun DurableLedgerTables.withoutClaim(record: ReleaseRecord): DurableLedgerTables {
    val claim = claims[record.key]?.takeIf { it.attempt == record.attempt && it.status == null }
    val unclaimed = if (claim == null) {
        this
    } else {
        copy(claims = claims.remove(record.key), claimOrder = claimOrder.withoutEntry(claim.number))
    }
    val isClaimed = claim != null || record.isUnconfirmedClaim
    return if (isClaimed) unclaimed.withClaimReport(record.key, ReleaseClaim(record.key, record.attempt)) else unclaimed
}

/** Claims of homed keys are stored in this ledger only, so the quorum needs no report. */
private fun DurableLedgerTables.withClaimReport(key: RequestKey, command: FleetCommand): DurableLedgerTables =
    if (HomedKey.parse(key.key) == null) copy(claimReports = claimReports.put(key, command)) else this
