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

/** Shorter than the sender waits. */
private const val COMMAND_MILLIS = 1_500L

internal class PeerRoutes(
    private val replica: ReplicaId,
    private val port: ControlPort,
    private val replies: ReplyBoard,
) {
    val all: List<RoutingHttpHandler> = listOf(
        InternalPaths.CONSENSUS bind Method.POST to { it.withJsonBody(PeerBatch.serializer(), ::messages) },
        InternalPaths.PROPOSE bind Method.POST to { it.withJsonBody(FleetCommand.serializer(), ::command) },
        InternalPaths.SUMMARY bind Method.POST to { it.withJsonBody(DomainSummary.serializer(), ::summary) },
    )

    /** A batch for another epoch of this domain went to an address that has changed hands, and is dropped. */
    private fun messages(batch: PeerBatch): Response {
        if (batch.to == replica) {
            batch.consensus.forEach { port.post(ConsensusReceived(batch.from, it)) }
            batch.shares.forEach { port.post(PeerMessageReceived(batch.from, it)) }
        }
        return received()
    }

    private fun command(command: FleetCommand): Response {
        val effect = replies.exchange(COMMAND_MILLIS) { port.post(CommandReceived(it, command)) }
        val answer = (effect as? AnswerCommand)?.answer ?: CommandOutcomeUnknown
        return jsonResponse(Status.OK, CommandAnswer.serializer(), answer)
    }

    private fun summary(summary: DomainSummary): Response {
        port.post(DomainSummaryReceived(summary))
        return received()
    }

    private fun received(): Response = jsonResponse(Status.OK, Received.serializer(), Received())
}
