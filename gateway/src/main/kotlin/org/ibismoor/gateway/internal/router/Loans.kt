/**
 * Loans of tokens between routers, over the port on which all routers take calls of each other.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.forwarding.api.AnswerLoan
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.RequestLoan
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.Replies
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 200L
private const val SUCCESS = 200

@Serializable
internal data class LoanRequest(val organisation: OrganisationId, val tokens: Long)

internal class Loans(
    private val client: JsonClient,
    private val port: Int,
    private val decisions: (ForwardingMessage) -> Unit,
) {
    private val replies = Replies(TIMEOUT_MILLIS, 0L)

    /** A loan that does not come in time is lost; the lender has counted it already. */
    fun ask(effect: RequestLoan) {
        val body = InternalJson.encodeToString(LoanRequest(effect.organisation, effect.tokens))
        val address = "${effect.address.substringBeforeLast(':')}:$port"
        client.call(address, "POST", InternalPaths.LOAN, body, TIMEOUT_MILLIS).thenAccept {
            val tokens = if (it.status == SUCCESS) it.body.toLong() else 0
            if (tokens > 0) decisions(LoanReceived(effect.organisation, tokens))
        }
    }

    fun answer(effect: AnswerLoan) = replies.complete(effect.replyId, effect.tokens)

    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer> {
        val loan = InternalJson.decodeFromString<LoanRequest>(request.body)
        return replies.open { decisions(LoanRequested(it, loan.organisation, loan.tokens)) }
            .thenApply { SimpleAnswer(SUCCESS, it.toString()) }
    }
}
