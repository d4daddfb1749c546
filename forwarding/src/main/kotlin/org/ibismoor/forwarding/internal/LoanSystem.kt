/**
 * Lends tokens between routers while no control process can be reached. A lender deducts a loan before it answers, so
 * no token is spent twice; if the answer is lost, the tokens of the loan are lost to the budget.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
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
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.isPlacedByRoom

/** Routers to which a loan request is sent at the same time. */
private const val LENDERS_PER_REQUEST = 4

/**
 * Time after which other routers are asked for what a request still lacks: a round trip between failure domains. In a
 * large fleet, the tokens of a small organisation are at a few routers.
 */
private const val LOAN_ROUND_MILLIS = 10L

/**
 * Time without an answer of the leader after which a request borrows before the leader counts as lost: several round
 * trips and a sync, and early enough for a request that would be refused before the leader counts as lost.
 */
private const val LEADER_ANSWER_MILLIS = 100L

internal class LoanSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is LoanRequested -> lendTokens(table, message)
                is LoanReceived -> ForwardingStep(table.withLoan(message))
                is RequestArrived -> requestTokens(table, message.number, tick.now)
                else -> unchanged(table)
            }
        }.then { requestFurtherTokens(it, tick.now) }

    /** Where callers are placed by room, requests for an organisation reach many routers, which hold little of it. */
    private fun requestFurtherTokens(tables: ForwardingTables, now: Timestamp): ForwardingStep =
        if (tables.isPlacedByRoom(settings)) {
            foldSteps(tables, tables.due.take(now).entries.map { it.id }.distinct()) { table, number ->
                requestTokens(table, number, now)
            }
        } else {
            unchanged(tables)
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

    private fun requestTokens(tables: ForwardingTables, number: RequestNumber, now: Timestamp): ForwardingStep {
        val request = tables.requests[number]
        val phase = request?.phase as? AwaitingAllowance
        val organisation = request?.organisation
        val cost = request?.head?.prompt?.maximumCost
        if (phase == null || organisation == null || cost == null) return unchanged(tables)
        val missingTokens = cost - tables.allowanceOf(organisation).available
        val isLost = tables.isControlLost(now, settings)
        val isDue = isLost || tables.isPlacedByRoom(settings) && now - phase.since >= LEADER_ANSWER_MILLIS
        val next = tables.withLoanRound(number, now + if (isLost) LOAN_ROUND_MILLIS else LEADER_ANSWER_MILLIS)
        return when {
            missingTokens <= 0 || phase.until <= now -> unchanged(tables)
            isDue -> requestLoans(next, organisation, missingTokens)
            else -> unchanged(next)
        }
    }

    private fun ForwardingTables.withLoanRound(number: RequestNumber, at: Timestamp): ForwardingTables =
        if (isPlacedByRoom(settings)) copy(due = due.plus(at, number)) else this

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
