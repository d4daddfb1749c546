/**
 * Takes in answers and silence of the domain ledgers.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settled
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.LedgerLease
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal class LedgerAnswerSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val leases = Leases(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.forEach(tick.messages) { t, message ->
            when (message) {
                is LedgerAnswered -> answered(t, message.answer, tick.now)
                is LedgerRequestFailed -> failed(t, message, tick.now)
                is ControlContactReceived -> t.heard(message.authority.domain, tick.now).step()
                else -> t.step()
            }
        }

    private fun answered(tables: RoutingTables, answer: LedgerAnswer, now: Timestamp): RoutingStep {
        val row = tables.attempts[answer.attempt]?.let { tables.streams[it] }
        val lease = row?.lease ?: return lateAnswer(tables, answer)
        val heard = tables.heard(lease.authority, lease.askedAt)
        return when (answer) {
            is Reserved -> reserved(heard, row, answer, now)
            is Settled -> settled(heard, row)
            is Refused -> refused(heard, row, answer, now)
            is Cancelled -> heard.step()
        }
    }

    /** An answer to a reservation that no stream uses. A late charge of an answer that waits still counts. */
    private fun lateAnswer(tables: RoutingTables, answer: LedgerAnswer): RoutingStep {
        val closing = tables.closings[answer.attempt] ?: return tables.step()
        val row = tables.streams[closing.stream]?.takeIf { answer is Settled && it.phase == StreamPhase.ANSWERED }
        return when {
            answer is Reserved -> tables.step(SendLedgerRequest(LedgerAuthority(closing.authority), closing.request))
            else -> tables.copy(closings = tables.closings.remove(answer.attempt))
                .let { if (row == null) it.step() else released(it, row) }
        }
    }

    private fun reserved(tables: RoutingTables, row: StreamRow, answer: Reserved, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        return when (lease.pending) {
            is Reserve -> held(tables, withReservation(row, lease, answer), now)
            is Extend -> held(tables, row.copy(lease = lease.copy(amount = answer.amount, pending = null)), now)
            else -> tables.step()
        }
    }

    private fun withReservation(row: StreamRow, lease: LedgerLease, answer: Reserved): StreamRow {
        val amount = if (answer.isRerun) lease.amount else answer.amount
        val held = lease.copy(amount = amount, pending = null, isHeld = true, isRerun = answer.isRerun)
        return row.copy(
            lease = held,
            mayHaveRunBefore = answer.isRerun || (row.work.isIdempotent && row.mayHaveRunBefore),
        )
    }

    private fun held(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep =
        when (row.phase) {
            StreamPhase.RESERVING -> tables.put(row.copy(phase = StreamPhase.WAITING), limits)
                .let { it.copy(toSelect = it.toSelect.add(row.id)) }.step()
            StreamPhase.ANSWERED -> leases.settle(tables, row, now)
            else -> tables.put(row, limits).step()
        }

    private fun settled(tables: RoutingTables, row: StreamRow): RoutingStep =
        if (row.phase == StreamPhase.ANSWERED) released(tables, row) else tables.step()

    private fun released(tables: RoutingTables, row: StreamRow): RoutingStep = tables.release(settings, row)

    private fun refused(tables: RoutingTables, row: StreamRow, answer: Refused, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        val asked = lease.copy(refusedBy = lease.refusedBy.add(lease.authority))
        val other = leases.other(tables, row, asked).takeIf { lease.pending is Reserve && answer.reason in LOCAL }
        return if (other != null && row.work.isIdempotent) {
            leases.move(tables, row.copy(lease = asked), other, now)
        } else {
            val failure = Failure(answer.reason, answer.outcome, answer.recordedStatus)
            tables.fail(settings, row.copy(lease = lease.takeIf { it.pending !is Reserve }), failure, now)
        }
    }

    private fun failed(tables: RoutingTables, message: LedgerRequestFailed, now: Timestamp): RoutingStep {
        val row = tables.attempts[message.request.attempt]?.let { tables.streams[it] }
        val isAwaited = row?.lease?.pending == message.request
        return if (isAwaited) {
            leases.unanswered(tables, checkNotNull(row), message.isDelivered, now)
        } else {
            tables.suspected(message.authority.domain).step()
        }
    }

    private companion object {
        /** Refusals that hold for one domain ledger only, so that another one may take the work. */
        val LOCAL = setOf(RefusalReason.SHARE_EXHAUSTED, RefusalReason.STORAGE_UNAVAILABLE, RefusalReason.NOT_READY)
    }
}
