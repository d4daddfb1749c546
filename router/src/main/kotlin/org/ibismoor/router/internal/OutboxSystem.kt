/**
 * Batches ledger requests by control process. Requests queued while the allowed batches are in flight go into the next
 * one. Several batches may be in flight, since a control process delays the answer of a batch while a reservation in it
 * waits for a share of its budget, and other requests must not wait behind it.
 */
package org.ibismoor.router.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.SendLedgerRequest

/** Control processes refuse batches with more requests. */
private const val MAXIMUM_BATCH_REQUESTS = 1_000
private const val MAXIMUM_BATCHES_IN_FLIGHT = 4

internal class OutboxSystem : TickSystem<RouterTables, RouterMessage, RouterEffect> {
    /** Removes the batches whose results [tick] carries. */
    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> =
        Step(tick.messages.filterIsInstance<BatchEnded>().fold(tables, ::removeBatch))

    /** The routing messages that follow from the ended batches; [tables] are those before [run]. */
    fun routingMessages(tables: RouterTables, messages: List<RouterMessage>): List<RoutingMessage> =
        messages.filterIsInstance<BatchEnded>().flatMap {
            when (it) {
                is BatchAnswered ->
                    it.answers.map(::LedgerAnswered) + ControlContactReceived(LedgerAuthority(it.domain))
                is BatchFailed -> requestFailures(tables, it)
            }
        }

    /** Queues [requests] and sends a batch to each control process that may get one more. */
    fun sendRequests(tables: RouterTables, requests: List<SendLedgerRequest>): Step<RouterTables, RouterEffect> {
        val queued = requests.fold(tables) { t, effect ->
            val row = t.outbox(effect.authority.domain)
            t.withOutbox(effect.authority.domain, row.copy(waitingRequests = row.waitingRequests.add(effect.request)))
        }
        val ready = queued.outboxes.filterValues {
            it.batchesInFlight.size < MAXIMUM_BATCHES_IN_FLIGHT && it.waitingRequests.isNotEmpty()
        }
        val batches = ready.map { (domain, row) ->
            SendBatch(domain, row.nextBatchNumber, row.waitingRequests.take(MAXIMUM_BATCH_REQUESTS))
        }
        return Step(batches.fold(queued, ::recordBatch), batches)
    }

    private fun requestFailures(tables: RouterTables, failed: BatchFailed): List<RoutingMessage> {
        val requests: List<LedgerRequest> = tables.outbox(failed.domain).batchesInFlight[failed.number].orEmpty()
        return requests.map { LedgerRequestFailed(it, LedgerAuthority(failed.domain), failed.isDelivered) }
    }

    private fun removeBatch(tables: RouterTables, batch: BatchEnded): RouterTables {
        val row = tables.outbox(batch.domain)
        return tables.withOutbox(batch.domain, row.copy(batchesInFlight = row.batchesInFlight.remove(batch.number)))
    }

    private fun recordBatch(tables: RouterTables, batch: SendBatch): RouterTables {
        val row = tables.outbox(batch.domain)
        val next = OutboxRow(
            batchesInFlight = row.batchesInFlight.put(batch.number, batch.requests),
            waitingRequests = row.waitingRequests.drop(batch.requests.size).toPersistentList(),
            nextBatchNumber = batch.number + 1,
        )
        return tables.withOutbox(batch.domain, next)
    }
}

private fun RouterTables.outbox(domain: FailureDomainId): OutboxRow = outboxes[domain] ?: OutboxRow()

private fun RouterTables.withOutbox(domain: FailureDomainId, row: OutboxRow): RouterTables =
    copy(outboxes = outboxes.put(domain, row))
