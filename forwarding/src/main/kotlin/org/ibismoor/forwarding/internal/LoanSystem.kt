/**
 * Lends tokens between routers while no control process can be reached. A lender deducts a loan before it answers, so
 * no token is spent twice; if the answer is lost, the tokens of the loan are lost to the budget.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AnswerLoan
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.LoanRequested
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestLoan

/** Routers to which a loan request is sent at the same time. */
private const val LENDERS_PER_REQUEST = 4

internal class LoanSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is LoanRequested -> lendTokens(table, message)
                is LoanReceived -> ForwardingStep(table.withLoan(message))
                is RequestArrived -> if (table.isControlLost(tick.now, settings)) {
                    requestTokens(table, message)
                } else {
                    unchanged(table)
                }
                else -> unchanged(table)
            }
        }

    private fun unchanged(tables: ForwardingTables): ForwardingStep = ForwardingStep(tables)

    private fun lendTokens(tables: ForwardingTables, message: LoanRequested): ForwardingStep {
        val row = tables.allowanceOf(message.organisation)
        val lendableTokens = row.available.coerceAtLeast(0)
        val loanTokens = message.tokens.coerceAtMost(lendableTokens)
        val next = tables.withAllowance(message.organisation, row.copy(lent = row.lent + loanTokens))
        val decision = logDecision(
            DecisionKind.ALLOWANCE_MOVED,
            null,
            "organisation" to message.organisation,
            "lent" to (loanTokens > 0),
            "whole" to (loanTokens == message.tokens),
        )
        return ForwardingStep(next, listOf(AnswerLoan(message.replyId, loanTokens), decision))
    }

    private fun ForwardingTables.withLoan(message: LoanReceived): ForwardingTables {
        val row = allowanceOf(message.organisation)
        return withAllowance(message.organisation, row.copy(borrowed = row.borrowed + message.tokens))
    }

    private fun requestTokens(tables: ForwardingTables, message: RequestArrived): ForwardingStep {
        val request = tables.requests[message.number]?.takeIf { it.phase is AwaitingAllowance }
        val organisation = request?.organisation
        val cost = request?.head?.prompt?.maximumCost
        if (organisation == null || cost == null) return unchanged(tables)
        val missingTokens = cost - tables.allowanceOf(organisation).available
        return if (missingTokens > 0) requestLoans(tables, organisation, missingTokens) else unchanged(tables)
    }

    private fun requestLoans(tables: ForwardingTables, organisation: OrganisationId, tokens: Long): ForwardingStep {
        val others = tables.fleet.routers.map { it.address }.filter { it != settings.entry.address }
        val first = if (others.isEmpty()) 0 else tables.random.below(others.size.toLong()).toInt()
        val lenders = (others.drop(first) + others.take(first)).take(LENDERS_PER_REQUEST)
        return ForwardingStep(
            tables.copy(random = tables.random.advance()),
            lenders.map { RequestLoan(it, organisation, tokens) },
        )
    }
}
