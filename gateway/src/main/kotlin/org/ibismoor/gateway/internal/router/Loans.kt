/**
 * Requests and answers loans of tokens between routers, over the internal port of the routers.
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
import org.ibismoor.gateway.internal.PendingReplies
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 200L
private const val STATUS_OK = 200

@Serializable
internal data class LoanRequest(val organisation: OrganisationId, val tokens: Long)

internal class Loans(
    private val client: JsonClient,
    private val port: Int,
    private val post: (ForwardingMessage) -> Unit,
) {
    private val pendingLoans = PendingReplies(TIMEOUT_MILLIS, 0L)

    /** Tokens of a loan whose answer arrives after the timeout are lost, since the lender has already given them up. */
    fun requestLoan(effect: RequestLoan) {
        val body = InternalJson.encodeToString(LoanRequest(effect.organisation, effect.tokens))
        val address = "${effect.address.substringBeforeLast(':')}:$port"
        client.call(address, "POST", InternalPaths.LOAN, body, TIMEOUT_MILLIS).thenAccept {
            val tokens = if (it.status == STATUS_OK) it.body.toLong() else 0
            if (tokens > 0) post(LoanReceived(effect.organisation, tokens))
        }
    }

    fun answerLoan(effect: AnswerLoan) = pendingLoans.complete(effect.replyId, effect.tokens)

    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer> {
        val loan = InternalJson.decodeFromString<LoanRequest>(request.body)
        return pendingLoans.openExchange { post(LoanRequested(it, loan.organisation, loan.tokens)) }
            .thenApply { SimpleAnswer(STATUS_OK, it.toString()) }
    }
}
