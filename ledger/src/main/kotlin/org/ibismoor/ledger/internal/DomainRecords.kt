/**
 * Applies records to the durable tables of a domain ledger. The running ledger and a replay use the same functions.
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
import org.ibismoor.ledger.api.KeptChargeRecord
import org.ibismoor.ledger.api.KeptClaimRecord
import org.ibismoor.ledger.api.KeptReleaseRecord
import org.ibismoor.ledger.api.KeptReportRecord
import org.ibismoor.ledger.api.KeptReservationRecord
import org.ibismoor.ledger.api.MergedRecord
import org.ibismoor.ledger.api.ReleaseRecord
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.ledger.api.ReservationRow
import org.ibismoor.ledger.api.RetentionOrder
import org.ibismoor.ledger.api.ReturnRecord

internal fun DurableLedgerTables.with(record: DomainRecord): DurableLedgerTables =
    when (record) {
        is ReservationRecord -> withReservation(record)
        is ChargeRecord -> withCharge(record)
        is ReleaseRecord -> withRelease(record)
        is ReturnRecord -> withBudget(record.budget) { it.copy(returned = record.returned) }
        is MergedRecord -> copy(mergedCharge = maxOf(mergedCharge, record.sequence))
        is ClaimReportedRecord -> copy(claimReports = claimReports.remove(record.key))
        is DroppedRecord -> without(record)
        else -> withKept(record)
    }

private fun DurableLedgerTables.withKept(record: DomainRecord): DurableLedgerTables =
    when (record) {
        is CheckpointRecord -> copy(
            chargeOrder = RetentionOrder(first = record.firstCharge, next = record.nextCharge),
            claimOrder = RetentionOrder(first = record.firstClaim, next = record.nextClaim),
            releasedOrder = RetentionOrder(first = record.firstReleased, next = record.nextReleased),
            mergedCharge = record.mergedCharge,
            latestTime = record.latestTime,
        )
        is BudgetRecord -> withBudget(record.budget) { it.copy(spent = record.spent, returned = record.returned) }
        is KeptChargeRecord -> withKeptCharge(record)
        is KeptClaimRecord -> copy(
            claims = claims.put(record.key, record.row),
            claimOrder = claimOrder.with(record.row.number, record.key),
        )
        is KeptReservationRecord -> opened(record.key, record.row)
        is KeptReleaseRecord -> copy(
            released = released.put(record.attempt, record.row),
            releasedOrder = releasedOrder.with(record.row.number, record.attempt),
        )
        is KeptReportRecord -> copy(claimReports = claimReports.put(record.key, record.command))
        else -> this
    }

private fun DurableLedgerTables.withKeptCharge(record: KeptChargeRecord): DurableLedgerTables {
    val key = record.row.charge.key
    return copy(charges = charges.put(key, record.row), chargeOrder = chargeOrder.with(record.number, key))
}

internal fun DurableLedgerTables.withBudget(
    budget: BudgetId,
    change: (DomainBudgetRow) -> DomainBudgetRow,
): DurableLedgerTables = copy(budgets = budgets.put(budget, change(budget(budget))))

/** Opens a reservation in place of the one that the key had. */
internal fun DurableLedgerTables.opened(key: RequestKey, row: ReservationRow): DurableLedgerTables {
    val closed = closed(key)
    val session = row.attempt.session
    val keys = closed.sessionKeys[session] ?: persistentHashSetOf()
    return closed.withBudget(row.budget) { it.copy(reserved = it.reserved + row.amount) }.copy(
        reservations = closed.reservations.put(key, row),
        sessionKeys = closed.sessionKeys.put(session, keys.add(key)),
    )
}

/** Ends the open reservation of [key], if there is one, and frees its tokens. */
internal fun DurableLedgerTables.closed(key: RequestKey): DurableLedgerTables {
    val row = reservations[key] ?: return this
    val session = row.attempt.session
    val keys = (sessionKeys[session] ?: persistentHashSetOf()).remove(key)
    return withBudget(row.budget) { it.copy(reserved = it.reserved - row.amount) }.copy(
        reservations = reservations.remove(key),
        sessionKeys = if (keys.isEmpty()) sessionKeys.remove(session) else sessionKeys.put(session, keys),
    )
}

private fun DurableLedgerTables.without(record: DroppedRecord): DurableLedgerTables {
    val oldCharges = chargeOrder.through(record.charges)
    val oldClaims = claimOrder.through(record.claims)
    val oldReleased = releasedOrder.through(record.released)
    return copy(
        charges = charges.mutate { oldCharges.forEach(it::remove) },
        chargeOrder = chargeOrder.after(record.charges),
        claims = claims.mutate { oldClaims.forEach(it::remove) },
        claimOrder = claimOrder.after(record.claims),
        released = released.mutate { oldReleased.forEach(it::remove) },
        releasedOrder = releasedOrder.after(record.released),
    )
}
