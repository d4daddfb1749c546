/**
 * Batches ledger requests by control process. What gathers while batches are in flight goes in the next one. A few
 * may be in flight at a time, since a control process holds the answer of a batch back while a reservation in it waits
 * for a share of its budget, and other requests must not wait behind it.
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

/** Control processes refuse larger batches. */
private const val LARGEST_BATCH = 1_000
private const val BATCHES_IN_FLIGHT = 4

internal class OutboxSystem : TickSystem<RouterTables, RouterMessage, RouterEffect> {
    /** Ends the batches in flight that [tick] reports on. */
    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> =
        Step(tick.messages.filterIsInstance<BatchEnded>().fold(tables, ::ended))

    /** What the ended batches mean for the routing decisions; [tables] are those before [run]. */
    fun routingMessages(tables: RouterTables, messages: List<RouterMessage>): List<RoutingMessage> =
        messages.filterIsInstance<BatchEnded>().flatMap {
            when (it) {
                is BatchAnswered ->
                    it.answers.map(::LedgerAnswered) + ControlContactReceived(LedgerAuthority(it.domain))
                is BatchFailed -> failures(tables, it)
            }
        }

    /** Queues [asked] and sends a batch wherever one may go. */
    fun send(tables: RouterTables, asked: List<SendLedgerRequest>): Step<RouterTables, RouterEffect> {
        val queued = asked.fold(tables) { t, ask ->
            val row = t.outbox(ask.authority.domain)
            t.put(ask.authority.domain, row.copy(waiting = row.waiting.add(ask.request)))
        }
        val ready = queued.outboxes.filterValues { it.inFlight.size < BATCHES_IN_FLIGHT && it.waiting.isNotEmpty() }
        val batches = ready.map { (domain, row) -> SendBatch(domain, row.nextBatch, row.waiting.take(LARGEST_BATCH)) }
        return Step(batches.fold(queued, ::sent), batches)
    }

    private fun failures(tables: RouterTables, failed: BatchFailed): List<RoutingMessage> {
        val requests: List<LedgerRequest> = tables.outbox(failed.domain).inFlight[failed.number].orEmpty()
        return requests.map { LedgerRequestFailed(it, LedgerAuthority(failed.domain), failed.isDelivered) }
    }

    private fun ended(tables: RouterTables, batch: BatchEnded): RouterTables {
        val row = tables.outbox(batch.domain)
        return tables.put(batch.domain, row.copy(inFlight = row.inFlight.remove(batch.number)))
    }

    private fun sent(tables: RouterTables, batch: SendBatch): RouterTables {
        val row = tables.outbox(batch.domain)
        val next = OutboxRow(
            inFlight = row.inFlight.put(batch.number, batch.requests),
            waiting = row.waiting.drop(batch.requests.size).toPersistentList(),
            nextBatch = batch.number + 1,
        )
        return tables.put(batch.domain, next)
    }
}

private fun RouterTables.outbox(domain: FailureDomainId): OutboxRow = outboxes[domain] ?: OutboxRow()

private fun RouterTables.put(domain: FailureDomainId, row: OutboxRow): RouterTables =
    copy(outboxes = outboxes.put(domain, row))
