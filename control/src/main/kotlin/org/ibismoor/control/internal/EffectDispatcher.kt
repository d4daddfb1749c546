/**
 * Passes answers to the waiting exchanges and sends messages through the HTTP client, without blocking the control
 * thread.
 */
package org.ibismoor.control.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.AnswerCommand
import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.ForwardCommand
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.fleet.api.SendConsensus
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.SendPeerMessage
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.postJson
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

internal class EffectDispatcher(
    private val client: InternalClient,
    private val exchanges: PendingExchanges,
    private val addresses: PeerAddresses,
    private val meters: ControlMeters,
    private val process: ControlPort,
) {
    private val links = AtomicReference<PersistentMap<ReplicaId, PeerLink>>(persistentHashMapOf())

    fun dispatch(effect: ControlEffect) {
        when (effect) {
            is AnswerLedgerRequests -> exchanges.complete(effect.reply, effect)
            is AnswerRouter -> exchanges.complete(effect.reply, effect)
            is AnswerPublication -> exchanges.complete(effect.reply, effect)
            is AnswerCommand -> exchanges.complete(effect.reply, effect)
            else -> sendToPeers(effect)
        }
    }

    private fun sendToPeers(effect: ControlEffect) {
        when (effect) {
            is SendConsensus -> linkTo(effect.to).send(ConsensusItem(effect.message))
            is SendPeerMessage -> linkTo(effect.to).send(SharesItem(effect.message))
            is SendDomainSummary -> broadcast(effect.summary)
            is ForwardCommand -> forward(effect)
            else -> Unit
        }
    }

    private fun linkTo(replica: ReplicaId): PeerLink =
        links.get()[replica] ?: newLink(replica).also { link -> links.updateAndGet { it.put(replica, link) } }

    private fun newLink(replica: ReplicaId): PeerLink = PeerLink(meters::countDroppedMessages) { post(replica, it) }

    private fun post(replica: ReplicaId, items: List<PeerItem>): CompletableFuture<CallResult<Acknowledgement>> {
        val tables = process.tables
        val url = addresses.urlOf(replica, tables) ?: return noAddress(replica)
        val consensus = items.filterIsInstance<ConsensusItem>().map { it.message }
        val shares = items.filterIsInstance<SharesItem>().map { it.message }
        return client.postJson(url + InternalPaths.CONSENSUS, PeerBatch(tables.replica, replica, consensus, shares))
    }

    private fun <A> noAddress(replica: ReplicaId): CompletableFuture<CallResult<A>> =
        CompletableFuture.completedFuture(CallResult.NotSent("no address of $replica is known"))

    private fun broadcast(summary: DomainSummary) {
        addresses.otherUrls(process.tables).values.forEach { url ->
            client.postJson<DomainSummary, Acknowledgement>(url + InternalPaths.SUMMARY, summary)
        }
    }

    private fun forward(effect: ForwardCommand) {
        val url = addresses.urlOf(effect.to, process.tables)
        val call = if (url == null) noAddress(effect.to) else propose(url, effect.command)
        call.thenAccept { process.post(ForwardAnswered(effect.forward, answerOf(it))) }
    }

    private fun propose(url: String, command: FleetCommand): CompletableFuture<CallResult<CommandAnswer>> =
        client.postJson(url + InternalPaths.PROPOSE, command, FleetCommand.serializer(), CommandAnswer.serializer())

    private fun answerOf(result: CallResult<CommandAnswer>): CommandAnswer =
        when (result) {
            is CallResult.Answered -> result.answer
            is CallResult.NotSent -> NotLeader(null)
            is CallResult.AnswerLost, is CallResult.Refused -> CommandOutcomeUnknown
        }
}

/** Access of other threads to the control thread: reads its tables and posts messages to it. */
internal interface ControlPort {
    val tables: ControlTables

    fun post(message: ControlMessage)
}
