/**
 * What a record causes beside the change of the durable tables: counters to merge, reports to send, and waiting
 * requests that may go on.
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

internal fun DomainLedgerTables.after(
    record: DomainRecord,
    now: Timestamp,
    settings: DomainLedgerSettings,
): DomainLedgerTables {
    val next = copy(durable = durable.with(record))
    return when (record) {
        is ChargeRecord -> next.withDirty(record.charge.budget, now + settings.mergeMillis)
            .withFreed(record.charge.budget)
            .withReportDue(record.charge.key, now)
        // A request may have waited longer than its session was silent; its reservation has to expire too.
        is ReservationRecord -> next.withSession(record.attempt.session, now, settings.sessionMillis)
        is ReleaseRecord -> next.withFreed(durable.reservations[record.key]?.budget).withReportDue(record.key, now)
        // A returned token may be awaited in another domain, so it is not kept back until the next batch is due.
        is ReturnRecord -> next.withDirty(record.budget, now)
        else -> next
    }
}

private fun DomainLedgerTables.withDirty(budget: BudgetId, due: Timestamp): DomainLedgerTables {
    val earlier = if (merge.inFlight == null) minOf(merge.due, due) else merge.due
    return copy(merge = merge.copy(due = earlier, dirty = merge.dirty.add(budget)))
}

internal fun DomainLedgerTables.withFreed(budget: BudgetId?): DomainLedgerTables {
    val isAwaited = budget != null && usage[budget]?.waiting?.isNotEmpty() == true
    return if (budget != null && isAwaited) copy(freed = freed.add(budget)) else this
}

private fun DomainLedgerTables.withReportDue(key: RequestKey, now: Timestamp): DomainLedgerTables =
    if (key in durable.claimReports) copy(reportsDue = reportsDue.plus(now, key)) else this

private fun DomainLedgerTables.withSession(session: SessionId, now: Timestamp, period: Long): DomainLedgerTables =
    if (session in sessions) {
        this
    } else {
        copy(sessions = sessions.put(session, now)).withSessionDue(session, now + period)
    }
