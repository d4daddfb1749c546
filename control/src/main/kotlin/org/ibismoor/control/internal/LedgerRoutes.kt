/**
 * Endpoints for routers: ledger batches and heartbeats. Each request waits for the control thread, which answers after
 * the records are synced.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.LedgerRequestsReceived
import org.ibismoor.fleet.api.RouterHeartbeatReceived
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.LedgerBatch
import org.ibismoor.transport.api.jsonResponse
import org.ibismoor.transport.api.refusalResponse
import org.ibismoor.transport.api.withJsonBody

/** Longer than a reservation waits for a share and shorter than the time-out of a router. */
private const val ANSWER_TIMEOUT_MILLIS = 1_800L
private const val MAXIMUM_BATCH_REQUESTS = 1_000

internal class LedgerRoutes(
    private val port: ControlPort,
    private val exchanges: PendingExchanges,
    private val meters: ControlMeters,
) {
    val all: List<RoutingHttpHandler> = listOf(
        InternalPaths.LEDGER bind Method.POST to { it.withJsonBody(LedgerBatch.serializer(), ::answerLedgerBatch) },
        InternalPaths.HEARTBEAT bind Method.POST to { it.withJsonBody(Heartbeat.serializer(), ::answerHeartbeat) },
    )

    private fun answerLedgerBatch(batch: LedgerBatch): Response =
        if (batch.requests.size > MAXIMUM_BATCH_REQUESTS) {
            val message = "a batch has at most $MAXIMUM_BATCH_REQUESTS requests"
            refusalResponse(RefusalReason.REQUEST_TOO_LARGE, Outcome.NOT_RUN, message)
        } else {
            val effect = exchanges.exchange(
                ANSWER_TIMEOUT_MILLIS
            ) { port.post(LedgerRequestsReceived(it, batch.session, batch.requests)) }
            (effect as? AnswerLedgerRequests)?.let { ledgerResponse(it.answers) } ?: timeoutResponse()
        }

    private fun ledgerResponse(answers: List<LedgerAnswer>): Response {
        meters.countLedgerAnswers(answers)
        return jsonResponse(Status.OK, ListSerializer(LedgerAnswer.serializer()), answers)
    }

    private fun answerHeartbeat(heartbeat: Heartbeat): Response {
        val effect = exchanges.exchange(ANSWER_TIMEOUT_MILLIS) { port.post(RouterHeartbeatReceived(it, heartbeat)) }
        return (effect as? AnswerRouter)?.let { jsonResponse(Status.OK, HeartbeatAnswer.serializer(), it.answer) }
            ?: timeoutResponse()
    }

    /** The records may be written later, so a router repeats the same attempt. */
    private fun timeoutResponse(): Response =
        refusalResponse(RefusalReason.LEDGER_UNAVAILABLE, Outcome.MAY_HAVE_RUN, "no answer in time")
}
