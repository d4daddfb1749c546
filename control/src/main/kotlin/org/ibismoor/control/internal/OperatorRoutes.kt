/**
 * Endpoints for operators: publication, status and ledger.
 */
package org.ibismoor.control.internal

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place
import org.ibismoor.declarations.api.AcceptedDeclarations
import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAccepted
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.declarations.api.PublicationConflicting
import org.ibismoor.declarations.api.PublicationMisdirected
import org.ibismoor.declarations.api.PublicationOpen
import org.ibismoor.declarations.api.PublicationRejected
import org.ibismoor.declarations.api.RejectedDeclarations
import org.ibismoor.declarations.api.readDeclarations
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.CommandRefused
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.fleet.api.PublicationReceived
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.FleetResult
import org.ibismoor.ledger.api.PublicationConflict
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.LedgerView
import org.ibismoor.transport.api.jsonResponse
import org.ibismoor.transport.api.withJsonBody

/** Leaves time for several elections before a publication is decided. */
private const val PUBLICATION_TIMEOUT_MILLIS = 10_000L
private const val MISDIRECTED_CODE = 421
private val MISDIRECTED = Status(MISDIRECTED_CODE, "Misdirected Request")

internal class OperatorRoutes(
    private val port: ControlPort,
    private val exchanges: PendingExchanges,
    private val addresses: PeerAddresses,
    private val meters: ControlMeters,
) {
    val all: List<RoutingHttpHandler> = listOf(
        InternalPaths.PUBLICATIONS bind Method.POST to { it.withJsonBody(Publication.serializer(), ::publish) },
        InternalPaths.STATUS bind Method.GET to { statusResponse() },
        InternalPaths.LEDGER bind Method.GET to ::ledgerResponse,
    )

    private fun publish(publication: Publication): Response {
        val answer = when (val result = readPublication(publication)) {
            is RejectedDeclarations -> PublicationRejected(result.findings)
            is AcceptedDeclarations -> propose(publication.number, result)
        }
        meters.countPublication(answer.javaClass.simpleName)
        return jsonResponse(statusOf(answer), PublicationAnswer.serializer(), answer)
    }

    private fun readPublication(publication: Publication) =
        if (publication.number > 0) {
            readDeclarations(publication.sources)
        } else {
            RejectedDeclarations(listOf(finding("the number is not positive", "publish under the next number")))
        }

    private fun finding(problem: String, remedy: String) = Finding(Place("publication"), problem, remedy)

    private fun propose(number: Long, accepted: AcceptedDeclarations): PublicationAnswer {
        val tables = accepted.tables.copy(number = ConfigurationNumber(number))
        val effect = exchanges.exchange(PUBLICATION_TIMEOUT_MILLIS) {
            port.post(PublicationReceived(it, tables, accepted.digest))
        }
        val answer = (effect as? AnswerPublication)?.answer ?: CommandOutcomeUnknown
        return answerOf(answer, number, accepted.digest)
    }

    private fun answerOf(answer: CommandAnswer, number: Long, digest: String): PublicationAnswer =
        when (answer) {
            is CommandCommitted -> answerOf(answer.result, number, digest)
            is NotLeader -> PublicationMisdirected(answer.leader?.let { addresses.urlOf(it, port.tables) })
            is CommandRefused -> PublicationRejected(listOf(finding(answer.problem, "publish a smaller set")))
            is CommandOutcomeUnknown -> PublicationOpen
        }

    private fun answerOf(result: FleetResult, number: Long, digest: String): PublicationAnswer =
        when (result) {
            is Applied -> PublicationAccepted(number, digest)
            is PublicationConflict ->
                PublicationConflicting(result.winner.value, result.winnerDigest, result.problem)
            else -> PublicationOpen
        }

    private fun statusOf(answer: PublicationAnswer): Status =
        when (answer) {
            is PublicationAccepted -> Status.OK
            is PublicationRejected -> Status.UNPROCESSABLE_ENTITY
            is PublicationConflicting -> Status.CONFLICT
            is PublicationMisdirected -> MISDIRECTED
            is PublicationOpen -> Status.SERVICE_UNAVAILABLE
        }

    private fun statusResponse(): Response =
        jsonResponse(Status.OK, ControlStatus.serializer(), statusOf(port.tables, addresses))

    private fun ledgerResponse(request: Request): Response {
        val view = ledgerViewOf(port.tables, request.query("organisation"))
        return jsonResponse(Status.OK, LedgerView.serializer(), view)
    }
}
