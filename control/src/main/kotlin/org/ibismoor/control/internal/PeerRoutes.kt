/**
 * Endpoints for other control processes.
 */
package org.ibismoor.control.internal

import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.AnswerCommand
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.CommandReceived
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.DomainSummaryReceived
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.jsonResponse
import org.ibismoor.transport.api.withJsonBody

/** Shorter than the time-out of the sender. */
private const val COMMAND_TIMEOUT_MILLIS = 1_500L

internal class PeerRoutes(
    private val replica: ReplicaId,
    private val port: ControlPort,
    private val exchanges: PendingExchanges,
) {
    val all: List<RoutingHttpHandler> = listOf(
        InternalPaths.CONSENSUS bind Method.POST to { it.withJsonBody(PeerBatch.serializer(), ::receiveBatch) },
        InternalPaths.PROPOSE bind Method.POST to { it.withJsonBody(FleetCommand.serializer(), ::answerCommand) },
        InternalPaths.SUMMARY bind Method.POST to { it.withJsonBody(DomainSummary.serializer(), ::receiveSummary) },
    )

    /** Drops a batch for another epoch of this domain, whose address this replica has taken over. */
    private fun receiveBatch(batch: PeerBatch): Response {
        if (batch.to == replica) {
            batch.consensus.forEach { port.post(ConsensusReceived(batch.from, it)) }
            batch.shares.forEach { port.post(PeerMessageReceived(batch.from, it)) }
        }
        return acknowledge()
    }

    private fun answerCommand(command: FleetCommand): Response {
        val effect = exchanges.exchange(COMMAND_TIMEOUT_MILLIS) { port.post(CommandReceived(it, command)) }
        val answer = (effect as? AnswerCommand)?.answer ?: CommandOutcomeUnknown
        return jsonResponse(Status.OK, CommandAnswer.serializer(), answer)
    }

    private fun receiveSummary(summary: DomainSummary): Response {
        port.post(DomainSummaryReceived(summary))
        return acknowledge()
    }

    private fun acknowledge(): Response = jsonResponse(Status.OK, Acknowledgement.serializer(), Acknowledgement())
}
