/**
 * Sends heartbeats and ledger batches to control processes without blocking and posts their results as messages.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.builtins.ListSerializer
import org.ibismoor.core.api.SessionId
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.LedgerBatch

internal class ControlMessenger(
    private val session: SessionId,
    private val controls: ControlDirectory,
    private val client: InternalClient,
    private val post: (RouterMessage) -> Unit,
) {
    fun send(effect: SendHeartbeat) {
        val url = controls.urlOf(effect.domain) ?: return post(HeartbeatFailed(effect.domain))
        client.postJson(
            url + InternalPaths.HEARTBEAT,
            effect.heartbeat,
            Heartbeat.serializer(),
            HeartbeatAnswer.serializer(),
        ).thenAccept { result ->
            val answer = (result as? CallResult.Answered)?.answer
            post(if (answer == null) HeartbeatFailed(effect.domain) else HeartbeatAnswered(effect.domain, answer))
        }
    }

    fun send(effect: SendBatch) {
        val url = controls.urlOf(effect.domain)
            ?: return post(BatchFailed(effect.domain, effect.number, isDelivered = false))
        client.postJson(
            url + InternalPaths.LEDGER,
            LedgerBatch(session, effect.requests),
            LedgerBatch.serializer(),
            ListSerializer(LedgerAnswer.serializer()),
        ).thenAccept { post(batchResult(effect, it)) }
    }

    private fun batchResult(batch: SendBatch, result: CallResult<List<LedgerAnswer>>): BatchEnded =
        when (result) {
            is CallResult.Answered -> BatchAnswered(batch.domain, batch.number, result.answer)
            is CallResult.NotSent -> BatchFailed(batch.domain, batch.number, isDelivered = false)
            is CallResult.Refused, is CallResult.AnswerLost ->
                BatchFailed(batch.domain, batch.number, isDelivered = true)
        }
}
