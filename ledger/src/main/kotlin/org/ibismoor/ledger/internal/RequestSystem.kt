/**
 * Decides requests from routers in order of arrival.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.BatchRow
import org.ibismoor.ledger.api.BatchSlot
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Settle

internal class RequestSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> =
        tick.messages.filterIsInstance<RequestsReceived>()
            .fold(startWork(tables, tick, settings), ::decideBatch)
            .toStep()

    private fun decideBatch(work: LedgerWork, message: RequestsReceived): LedgerWork {
        if (message.requests.isEmpty()) return work.emit(AnswerBatch(message.batch, emptyList()))
        val batches = work.tables.batches.put(message.batch, BatchRow(message.requests.size))
        val started = work.withTables(work.tables.copy(batches = batches))
        return message.requests.foldIndexed(started) { position, w, request ->
            decideInSlot(w, request, BatchSlot(message.batch, position))
        }
    }

    private fun decideInSlot(work: LedgerWork, request: LedgerRequest, slot: BatchSlot): LedgerWork {
        val decision = decide(work, request)
        return decision.answer?.let { decision.work.answerSlot(slot, it) }
            ?: decision.work.addSlot(request.attempt, slot)
    }

    private fun decide(work: LedgerWork, request: LedgerRequest): Decision {
        val isPending = request.attempt in work.tables.pending
        return when (request) {
            is Reserve -> if (isPending) Decision(work, null) else decideReserve(work, request)
            is Extend -> if (isPending) Decision(work, null) else decideExtend(work, request)
            is Settle -> decideSettle(work, request)
            is Cancel -> decideCancel(work, request)
        }
    }
}
