/**
 * Callers and routers: calls arrive, reserve, extend their reservation if they must, and settle. A refusal is false if
 * the free tokens of the whole budget would have covered the amount at that moment.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle

private const val SHORTEST_MILLIS = 1_000L
private const val LONGEST_MILLIS = 5_000L
private const val STATUS = 200
private val body = BodyDigest("body")

internal class CallSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> =
        Step(
            tick.messages.fold(tables) { t, event ->
                when (event) {
                    is CallDue -> arrive(t, event.budget, tick.now)
                    is CallAnswered -> answered(t, event, tick.now)
                    is ExtensionDue -> extend(t, event.attempt, tick.now)
                    is EndDue -> settle(t, event.attempt, tick.now)
                    else -> t
                }
            },
        )

    private fun arrive(tables: ReplayTables, budget: BudgetId, now: Timestamp): ReplayTables {
        val (wait, first) = tables.draw(ReplayPlan.CALL_INTERVAL_MILLIS * 2)
        val (used, second) = first.draw(ReplayPlan.MOST_TOKENS - ReplayPlan.LEAST_TOKENS + 1)
        val (part, third) = second.draw(ReplayPlan.HUNDRED)
        val at = domainOf(part, now)
        val attempt = AttemptId(SessionId(at.toString()), third.nextSequence)
        val reserved = if (plan.isFull) ReplayPlan.FULL_RESERVATION else ReplayPlan.EXPECTED_RESERVATION
        val key = RequestKey(OrganisationId("bench"), "call-${attempt.sequence}")
        val row = CallRow(at, key, budget, reserved, used + ReplayPlan.LEAST_TOKENS)
        val opened = third.copy(
            calls = third.calls.put(attempt, row),
            counts = third.counts.copy(calls = third.counts.calls + 1),
        )
        val next = now + wait + 1
        val planned = if (next.millis < plan.demandEnd) opened.after(next, CallDue(budget)) else opened
        return planned.ask(now, row, Reserve(attempt, key, budget, reserved, body, isClaim = false))
    }

    private fun domainOf(part: Long, now: Timestamp): ReplicaId {
        val parts = if (now.millis < plan.cutAt) plan.skew.before else plan.skew.during
        val bounds = parts.runningReduce(Int::plus)
        return plan.deployment.replicas[bounds.indexOfFirst { part < it }]
    }

    private fun answered(tables: ReplayTables, event: CallAnswered, now: Timestamp): ReplayTables {
        val attempt = event.answer.attempt
        val row = tables.calls[attempt] ?: return tables
        return when (event.answer) {
            is Reserved -> reserved(tables, attempt, row, now)
            is Refused -> refused(tables, attempt, row, now)
            else -> tables.copy(calls = tables.calls.remove(attempt))
        }
    }

    private fun reserved(tables: ReplayTables, attempt: AttemptId, row: CallRow, now: Timestamp): ReplayTables {
        val (more, drawn) = tables.draw(LONGEST_MILLIS - SHORTEST_MILLIS)
        val event = if (row.needsMore) ExtensionDue(attempt) else EndDue(attempt)
        return drawn.after(now + SHORTEST_MILLIS + more, event)
    }

    private fun extend(tables: ReplayTables, attempt: AttemptId, now: Timestamp): ReplayTables {
        val row = tables.calls.getValue(attempt)
        val raised = row.copy(reserved = row.used)
        return tables.copy(calls = tables.calls.put(attempt, raised)).ask(now, row, Extend(attempt, row.key, row.used))
    }

    private fun settle(tables: ReplayTables, attempt: AttemptId, now: Timestamp): ReplayTables {
        val row = tables.calls.getValue(attempt)
        return tables.ask(now, row, Settle(attempt, row.key, row.used, STATUS))
    }

    /** An answer whose reservation cannot be raised is cancelled and not billed. */
    private fun refused(tables: ReplayTables, attempt: AttemptId, row: CallRow, now: Timestamp): ReplayTables {
        val isOpen = tables.ledgers.getValue(row.at).durable.reservations[row.key] != null
        val lacking = if (isOpen) row.used - ReplayPlan.EXPECTED_RESERVATION else row.reserved
        val isFalse = tables.free(row.budget) >= lacking
        val counts = tables.counts
        val next = tables.copy(
            calls = tables.calls.remove(attempt),
            counts = counts.copy(
                refused = counts.refused + 1,
                refusedFalsely = counts.refusedFalsely + if (isFalse) 1 else 0,
                deprived = if (isFalse) counts.deprived.add(row.budget) else counts.deprived,
            ),
        )
        return if (isOpen) next.ask(now, row, Cancel(attempt, row.key)) else next
    }

    private fun ReplayTables.ask(now: Timestamp, row: CallRow, request: LedgerRequest): ReplayTables {
        val message = RequestsReceived(nextSequence, request.attempt.session, listOf(request))
        return copy(nextSequence = nextSequence + 1).after(now, LedgerMessageArrived(row.at, message))
    }
}
