/**
 * Applies a record together with the changes to other tables that follow from it: counters to merge, reports to send,
 * and budgets whose pending requests have to be decided again.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.ReleaseRecord
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.ledger.api.ReturnRecord

internal fun DomainLedgerTables.withRecord(
    record: DomainRecord,
    now: Timestamp,
    settings: DomainLedgerSettings,
): DomainLedgerTables {
    val next = copy(durable = durable.withRecord(record))
    return when (record) {
        is ChargeRecord -> next.withDirtyBudget(record.charge.budget, now + settings.mergeIntervalMillis)
            .withFreedBudget(record.charge.budget)
            .withReportDue(record.charge.key, now)
        // The session may have expired while the request was pending; its new reservation has to expire too.
        is ReservationRecord -> next.withSession(record.attempt.session, now, settings.sessionTimeoutMillis)
        is ReleaseRecord ->
            next.withFreedBudget(durable.reservations[record.key]?.budget).withReportDue(record.key, now)
        // Another domain may be waiting for the returned tokens, so the next batch is sent at once.
        is ReturnRecord -> next.withDirtyBudget(record.budget, now)
        else -> next
    }
}

private fun DomainLedgerTables.withDirtyBudget(budget: BudgetId, due: Timestamp): DomainLedgerTables {
    val earlier = if (merge.inFlight == null) minOf(merge.due, due) else merge.due
    return copy(merge = merge.copy(due = earlier, dirty = merge.dirty.add(budget)))
}

internal fun DomainLedgerTables.withFreedBudget(budget: BudgetId?): DomainLedgerTables {
    val hasWaiting = budget != null && usage[budget]?.waitingAttempts?.isNotEmpty() == true
    return if (budget != null && hasWaiting) copy(freedBudgets = freedBudgets.add(budget)) else this
}

private fun DomainLedgerTables.withReportDue(key: RequestKey, now: Timestamp): DomainLedgerTables =
    if (key in durable.claimReports) copy(reportsDue = reportsDue.plus(now, key)) else this

private fun DomainLedgerTables.withSession(session: SessionId, now: Timestamp, period: Long): DomainLedgerTables =
    if (session in sessions) {
        this
    } else {
        copy(sessions = sessions.put(session, now)).withSessionDue(session, now + period)
    }
