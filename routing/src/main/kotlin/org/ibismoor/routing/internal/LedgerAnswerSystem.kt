/**
 * Applies answers of the domain ledgers, and failures of requests to them.
 */
package org.ibismoor.routing.internal

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
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamReservation
import org.ibismoor.routing.api.StreamRow

internal class LedgerAnswerSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val requests = ReservationRequests(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.foldSteps(tick.messages) { t, message ->
            when (message) {
                is LedgerAnswered -> applyAnswer(t, message.answer, tick.now)
                is LedgerRequestFailed -> applyRequestFailure(t, message, tick.now)
                is ControlContactReceived -> t.recordContact(message.authority.domain, tick.now).step()
                else -> t.step()
            }
        }

    private fun applyAnswer(tables: RoutingTables, answer: LedgerAnswer, now: Timestamp): RoutingStep {
        val row = tables.streamsByAttempt[answer.attempt]?.let { tables.streams[it] }
        val reservation = row?.reservation ?: return applyLateAnswer(tables, answer)
        val withContact = tables.recordContact(reservation.authority, reservation.requestSentAt)
        return when (answer) {
            is Reserved -> applyReserved(withContact, row, answer, now)
            is Settled -> applySettled(withContact, row)
            is Refused -> applyRefused(withContact, row, answer, now)
            is Cancelled -> withContact.step()
        }
    }

    /** An answer to an abandoned reservation. Its charge still counts for a stream that waits for one. */
    private fun applyLateAnswer(tables: RoutingTables, answer: LedgerAnswer): RoutingStep {
        val abandoned = tables.abandonedReservations[answer.attempt] ?: return tables.step()
        val row = tables.streams[abandoned.stream]?.takeIf { answer is Settled && it.phase == StreamPhase.ANSWERED }
        return when {
            answer is Reserved ->
                tables.step(SendLedgerRequest(LedgerAuthority(abandoned.authority), abandoned.request))
            else -> tables.copy(abandonedReservations = tables.abandonedReservations.remove(answer.attempt))
                .let { if (row == null) it.step() else releaseAnswer(it, row) }
        }
    }

    private fun applyReserved(tables: RoutingTables, row: StreamRow, answer: Reserved, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        return when (reservation.pending) {
            is Reserve -> resumeStream(tables, withReservation(row, reservation, answer), now)
            is Extend -> {
                val extended = reservation.copy(amount = answer.amount, pending = null)
                resumeStream(tables, row.copy(reservation = extended), now)
            }
            else -> tables.step()
        }
    }

    private fun withReservation(row: StreamRow, reservation: StreamReservation, answer: Reserved): StreamRow {
        val amount = if (answer.isRerun) reservation.amount else answer.amount
        val held = reservation.copy(amount = amount, pending = null, isHeld = true, isRerun = answer.isRerun)
        return row.copy(
            reservation = held,
            mayHaveRunBefore = answer.isRerun || (row.work.isIdempotent && row.mayHaveRunBefore),
        )
    }

    private fun resumeStream(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep =
        when (row.phase) {
            StreamPhase.RESERVING -> tables.putStream(row.copy(phase = StreamPhase.WAITING), limits)
                .let { it.copy(streamsToSelect = it.streamsToSelect.add(row.id)) }.step()
            StreamPhase.ANSWERED -> requests.settle(tables, row, now)
            else -> tables.putStream(row, limits).step()
        }

    private fun applySettled(tables: RoutingTables, row: StreamRow): RoutingStep =
        if (row.phase == StreamPhase.ANSWERED) releaseAnswer(tables, row) else tables.step()

    private fun releaseAnswer(tables: RoutingTables, row: StreamRow): RoutingStep = tables.releaseAnswer(settings, row)

    private fun applyRefused(tables: RoutingTables, row: StreamRow, answer: Refused, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        val refusedReservation = reservation.copy(refusedBy = reservation.refusedBy.add(reservation.authority))
        val other = requests.alternativeLedger(tables, row, refusedReservation)
            .takeIf { reservation.pending is Reserve && answer.reason in ledgerLocalReasons }
        return when {
            other != null && row.work.isIdempotent ->
                requests.moveReservation(tables, row.copy(reservation = refusedReservation), other, now)
            row.canRenew(reservation, answer.reason) -> {
                val renewed = row.copy(reservation = reservation.copy(isRenewed = true))
                requests.moveReservation(tables, renewed, reservation.authority, now)
            }
            row.mayBeCoveredLater(reservation, answer.reason) -> tables.askAgainLater(row, limits, now).step()
            else -> {
                val failure = Failure(answer.reason, answer.outcome, answer.recordedStatus)
                val ended = row.copy(reservation = reservation.takeIf { it.pending !is Reserve })
                tables.failStream(settings, ended, failure, now)
            }
        }
    }

    private fun applyRequestFailure(tables: RoutingTables, message: LedgerRequestFailed, now: Timestamp): RoutingStep {
        val row = tables.streamsByAttempt[message.request.attempt]?.let { tables.streams[it] }
        val isAwaited = row?.reservation?.pending == message.request
        return if (isAwaited) {
            requests.handleUnanswered(tables, checkNotNull(row), message.isDelivered, now)
        } else {
            tables.markSuspected(message.authority.domain).step()
        }
    }
}
