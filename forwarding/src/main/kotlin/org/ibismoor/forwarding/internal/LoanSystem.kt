/**
 * Moves tokens between routers while control processes cannot be reached. A lender counts what it lends as gone before
 * it answers, so a loan whose answer is lost is lost to the budget, and no token is spent twice.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
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

/** Routers that are asked at once. */
private const val LENDERS = 2

/** Part of what a lender has available that it lends at most. */
private const val LENT_PART = 2

/** A borrower asks for this many times what it lacks, so that it does not ask again for the next request. */
private const val ASKED_TIMES = 2

internal class LoanSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is LoanRequested -> lend(table, message)
                is LoanReceived -> ForwardingStep(table.borrowing(message))
                is RequestArrived -> if (table.isControlLost(tick.now, settings)) ask(table, message) else idle(table)
                else -> idle(table)
            }
        }

    private fun idle(tables: ForwardingTables): ForwardingStep = ForwardingStep(tables)

    private fun lend(tables: ForwardingTables, message: LoanRequested): ForwardingStep {
        val row = tables.allowanceOf(message.organisation)
        val spare = (row.available / LENT_PART).coerceAtLeast(0)
        val given = message.tokens.coerceAtMost(spare)
        val next = tables.withAllowance(message.organisation, row.copy(lent = row.lent + given))
        val decision = decided(
            DecisionKind.ALLOWANCE_MOVED,
            null,
            "organisation" to message.organisation,
            "lent" to (given > 0),
            "whole" to (given == message.tokens),
        )
        return ForwardingStep(next, listOf(AnswerLoan(message.replyId, given), decision))
    }

    private fun ForwardingTables.borrowing(message: LoanReceived): ForwardingTables {
        val row = allowanceOf(message.organisation)
        return withAllowance(message.organisation, row.copy(borrowed = row.borrowed + message.tokens))
    }

    private fun ask(tables: ForwardingTables, message: RequestArrived): ForwardingStep {
        val request = tables.requests[message.number]?.takeIf { it.phase is AwaitingAllowance }
        val organisation = request?.organisation
        val cost = request?.head?.prompt?.maximumCost
        return if (organisation == null || cost == null) ForwardingStep(tables) else borrow(tables, organisation, cost)
    }

    private fun borrow(tables: ForwardingTables, organisation: OrganisationId, cost: Long): ForwardingStep {
        val others = tables.fleet.routers.map { it.address }.filter { it != settings.entry.address }
        val first = if (others.isEmpty()) 0 else tables.random.below(others.size.toLong()).toInt()
        val lenders = (others.drop(first) + others.take(first)).take(LENDERS)
        return ForwardingStep(
            tables.copy(random = tables.random.advance()),
            lenders.map { RequestLoan(it, organisation, cost * ASKED_TIMES) },
        )
    }
}
