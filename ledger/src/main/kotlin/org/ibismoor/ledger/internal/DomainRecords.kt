/**
 * Applies records to the durable tables of a domain ledger, both in the running ledger and when a log is replayed.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.ledger.api.BudgetRecord
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.CheckpointRecord
import org.ibismoor.ledger.api.ClaimReportedRecord
import org.ibismoor.ledger.api.DomainBudgetRow
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.DroppedRecord
import org.ibismoor.ledger.api.DurableLedgerTables
import org.ibismoor.ledger.api.MergedRecord
import org.ibismoor.ledger.api.ReleaseRecord
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.ledger.api.ReservationRow
import org.ibismoor.ledger.api.RetainedChargeRecord
import org.ibismoor.ledger.api.RetainedClaimRecord
import org.ibismoor.ledger.api.RetainedReleaseRecord
import org.ibismoor.ledger.api.RetainedReportRecord
import org.ibismoor.ledger.api.RetainedReservationRecord
import org.ibismoor.ledger.api.RetentionOrder
import org.ibismoor.ledger.api.ReturnRecord

internal fun DurableLedgerTables.withRecord(record: DomainRecord): DurableLedgerTables =
    when (record) {
        is ReservationRecord -> withReservation(record)
        is ChargeRecord -> withCharge(record)
        is ReleaseRecord -> withRelease(record)
        is ReturnRecord -> withBudget(record.budget) { it.copy(returned = record.returned) }
        is MergedRecord -> copy(mergedCharge = maxOf(mergedCharge, record.sequence))
        is ClaimReportedRecord -> copy(claimReports = claimReports.remove(record.key))
        is DroppedRecord -> withoutDropped(record)
        else -> withRetained(record)
    }

private fun DurableLedgerTables.withRetained(record: DomainRecord): DurableLedgerTables =
    when (record) {
        is CheckpointRecord -> copy(
            chargeOrder = RetentionOrder(first = record.firstCharge, next = record.nextCharge),
            claimOrder = RetentionOrder(first = record.firstClaim, next = record.nextClaim),
            releasedOrder = RetentionOrder(first = record.firstReleased, next = record.nextReleased),
            mergedCharge = record.mergedCharge,
            latestTime = record.latestTime,
        )
        is BudgetRecord -> withBudget(record.budget) { it.copy(spent = record.spent, returned = record.returned) }
        is RetainedChargeRecord -> withRetainedCharge(record)
        is RetainedClaimRecord -> copy(
            claims = claims.put(record.key, record.row),
            claimOrder = claimOrder.withEntry(record.row.number, record.key),
        )
        is RetainedReservationRecord -> withOpenReservation(record.key, record.row)
        is RetainedReleaseRecord -> copy(
            released = released.put(record.attempt, record.row),
            releasedOrder = releasedOrder.withEntry(record.row.number, record.attempt),
        )
        is RetainedReportRecord -> copy(claimReports = claimReports.put(record.key, record.command))
        else -> this
    }

private fun DurableLedgerTables.withRetainedCharge(record: RetainedChargeRecord): DurableLedgerTables {
    val key = record.row.charge.key
    return copy(charges = charges.put(key, record.row), chargeOrder = chargeOrder.withEntry(record.number, key))
}

internal fun DurableLedgerTables.withBudget(
    budget: BudgetId,
    change: (DomainBudgetRow) -> DomainBudgetRow,
): DurableLedgerTables = copy(budgets = budgets.put(budget, change(budget(budget))))

/** Replaces the open reservation of [key], if there is one. */
internal fun DurableLedgerTables.withOpenReservation(key: RequestKey, row: ReservationRow): DurableLedgerTables {
    val closed = withoutReservation(key)
    val session = row.attempt.session
    val keys = closed.sessionKeys[session] ?: persistentHashSetOf()
    return closed.withBudget(row.budget) { it.copy(reserved = it.reserved + row.amount) }.copy(
        reservations = closed.reservations.put(key, row),
        sessionKeys = closed.sessionKeys.put(session, keys.add(key)),
    )
}

/** Closes the open reservation of [key], if there is one, and frees its tokens. */
internal fun DurableLedgerTables.withoutReservation(key: RequestKey): DurableLedgerTables {
    val row = reservations[key] ?: return this
    val session = row.attempt.session
    val keys = (sessionKeys[session] ?: persistentHashSetOf()).remove(key)
    return withBudget(row.budget) { it.copy(reserved = it.reserved - row.amount) }.copy(
        reservations = reservations.remove(key),
        sessionKeys = if (keys.isEmpty()) sessionKeys.remove(session) else sessionKeys.put(session, keys),
    )
}

private fun DurableLedgerTables.withoutDropped(record: DroppedRecord): DurableLedgerTables {
    val droppedCharges = chargeOrder.entriesThrough(record.charges)
    val droppedClaims = claimOrder.entriesThrough(record.claims)
    val droppedReleased = releasedOrder.entriesThrough(record.released)
    return copy(
        charges = charges.mutate { droppedCharges.forEach(it::remove) },
        chargeOrder = chargeOrder.withoutThrough(record.charges),
        claims = claims.mutate { droppedClaims.forEach(it::remove) },
        claimOrder = claimOrder.withoutThrough(record.claims),
        released = released.mutate { droppedReleased.forEach(it::remove) },
        releasedOrder = releasedOrder.withoutThrough(record.released),
    )
}
