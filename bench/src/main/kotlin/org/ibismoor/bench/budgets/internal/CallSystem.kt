/**
 * Simulates callers and routers: calls arrive, reserve, extend their reservation if needed, and settle. A
 * refusal is false if the free tokens of the whole budget would have covered the amount at that moment.
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

private const val MIN_CALL_MILLIS = 1_000L
private const val MAX_CALL_MILLIS = 5_000L
private const val OK_STATUS = 200
private val body = BodyDigest("body")

internal class CallSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> =
        Step(
            tick.messages.fold(tables) { t, event ->
                when (event) {
                    is CallDue -> startCall(t, event.budget, tick.now)
                    is CallAnswered -> applyAnswer(t, event, tick.now)
                    is ExtensionDue -> requestExtension(t, event.attempt, tick.now)
                    is EndDue -> requestSettlement(t, event.attempt, tick.now)
                    else -> t
                }
            },
        )

    private fun startCall(tables: ReplayTables, budget: BudgetId, now: Timestamp): ReplayTables {
        val (wait, waitDrawn) = tables.draw(ReplayPlan.CALL_INTERVAL_MILLIS * 2)
        val (used, usedDrawn) = waitDrawn.draw(ReplayPlan.MAX_CALL_TOKENS - ReplayPlan.MIN_CALL_TOKENS + 1)
        val (part, partDrawn) = usedDrawn.draw(ReplayPlan.PERCENT)
        val replica = replicaFor(part, now)
        val attempt = AttemptId(SessionId(replica.toString()), partDrawn.nextSequence)
        val reserved =
            if (plan.isReservationFull) ReplayPlan.FULL_RESERVATION_TOKENS else ReplayPlan.EXPECTED_RESERVATION_TOKENS
        val key = RequestKey(OrganisationId("bench"), "call-${attempt.sequence}")
        val row = CallRow(replica, key, budget, reserved, used + ReplayPlan.MIN_CALL_TOKENS)
        val opened = partDrawn.copy(
            calls = partDrawn.calls.put(attempt, row),
            counts = partDrawn.counts.copy(calls = partDrawn.counts.calls + 1),
        )
        val next = now + wait + 1
        val planned = if (next.millis < plan.demandEndMillis) opened.schedule(next, CallDue(budget)) else opened
        return planned.sendRequest(now, row, Reserve(attempt, key, budget, reserved, body, isClaim = false))
    }

    private fun replicaFor(part: Long, now: Timestamp): ReplicaId {
        val parts = if (now.millis < plan.partitionStartMillis) plan.skew.percentBefore else plan.skew.percentDuring
        val bounds = parts.runningReduce(Int::plus)
        return plan.deployment.replicas[bounds.indexOfFirst { part < it }]
    }

    private fun applyAnswer(tables: ReplayTables, event: CallAnswered, now: Timestamp): ReplayTables {
        val attempt = event.answer.attempt
        val row = tables.calls[attempt] ?: return tables
        return when (event.answer) {
            is Reserved -> scheduleNextStep(tables, attempt, row, now)
            is Refused -> recordRefusal(tables, attempt, row, now)
            else -> tables.copy(calls = tables.calls.remove(attempt))
        }
    }

    private fun scheduleNextStep(tables: ReplayTables, attempt: AttemptId, row: CallRow, now: Timestamp): ReplayTables {
        val (extraMillis, drawn) = tables.draw(MAX_CALL_MILLIS - MIN_CALL_MILLIS)
        val event = if (row.needsExtension) ExtensionDue(attempt) else EndDue(attempt)
        return drawn.schedule(now + MIN_CALL_MILLIS + extraMillis, event)
    }

    private fun requestExtension(tables: ReplayTables, attempt: AttemptId, now: Timestamp): ReplayTables {
        val row = tables.calls.getValue(attempt)
        val raised = row.copy(reservedTokens = row.usedTokens)
        val extended = tables.copy(calls = tables.calls.put(attempt, raised))
        return extended.sendRequest(now, row, Extend(attempt, row.key, row.usedTokens))
    }

    private fun requestSettlement(tables: ReplayTables, attempt: AttemptId, now: Timestamp): ReplayTables {
        val row = tables.calls.getValue(attempt)
        return tables.sendRequest(now, row, Settle(attempt, row.key, row.usedTokens, OK_STATUS))
    }

    /** A call whose extension is refused is cancelled and not charged. */
    private fun recordRefusal(tables: ReplayTables, attempt: AttemptId, row: CallRow, now: Timestamp): ReplayTables {
        val isReserved = tables.ledgers.getValue(row.replica).durable.reservations[row.key] != null
        val missing = if (isReserved) row.usedTokens - ReplayPlan.EXPECTED_RESERVATION_TOKENS else row.reservedTokens
        val isFalse = tables.freeTokens(row.budget) >= missing
        val counts = tables.counts
        val next = tables.copy(
            calls = tables.calls.remove(attempt),
            counts = counts.copy(
                refused = counts.refused + 1,
                refusedFalsely = counts.refusedFalsely + if (isFalse) 1 else 0,
                deniedBudgets = if (isFalse) counts.deniedBudgets.add(row.budget) else counts.deniedBudgets,
            ),
        )
        return if (isReserved) next.sendRequest(now, row, Cancel(attempt, row.key)) else next
    }

    private fun ReplayTables.sendRequest(now: Timestamp, row: CallRow, request: LedgerRequest): ReplayTables {
        val message = RequestsReceived(nextSequence, request.attempt.session, listOf(request))
        return copy(nextSequence = nextSequence + 1).schedule(now, LedgerMessageArrived(row.replica, message))
    }
}
