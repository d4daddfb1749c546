/**
 * Answers reports of routers. Reports that start a session, return tokens or want some wait for one entry of the log
 * that covers all reports of the tick; the others are answered at once.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AllowanceMove
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.api.NotifySessionStart
import org.ibismoor.coordination.api.SessionStart
import org.ibismoor.coordination.api.WaitingReport
import org.ibismoor.core.api.Tick

/**
 * Tokens ahead of demand take at most this part of what is unissued, so that one router cannot hold all that is left.
 * Tokens for requests that wait are not limited so.
 */
private const val LARGEST_PART = 4L

/** Spending is recorded without another move when more than this part of a budget is not in the log. */
private const val UNRECORDED_PART = 200L
private const val PER_MILLE = 1_000

internal class ReportSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val received = tick.messages.filterIsInstance<ReportReceived>()
        return when {
            received.isEmpty() -> CoordinationStep(tables)
            tables.leadingSince == null ->
                CoordinationStep(tables, received.map { AnswerReport(it.reply, notLeading(tables)) })
            else -> handle(tables, received)
        }
    }

    private fun handle(tables: CoordinationTables, received: List<ReportReceived>): CoordinationStep {
        val plan = received.fold(AllowancePlan(tables.state)) { plan, message -> plan.with(message) }
        val waiting = plan.waiting.map { WaitingReport(it.reply, it.report) }
        val next = when {
            waiting.isEmpty() -> tables
            else -> propose(tables, codec.writeCommand(MoveAllowances(plan.sessions, plan.moves)), waiting)
        }
        val stranded = plan.sessions.map { NotifySessionStart(it.router, heldBefore(tables.state, it)) }
        val answers = plan.ready.map { AnswerReport(it.reply, answerTo(tables, it.report, settings)) }
        return CoordinationStep(next, answers + stranded)
    }

    private fun heldBefore(state: CoordinationState, start: SessionStart): Long {
        val earlier = state.sessions[start.router] ?: return 0
        val held = state.budgets.values.sumOf { it.sessions[earlier]?.held ?: 0 }
        return held * PER_MILLE / (state.configuration?.budgets?.values?.sum() ?: 0).coerceAtLeast(1)
    }

    private fun AllowancePlan.with(message: ReportReceived): AllowancePlan {
        val report = message.report
        val start = SessionStart(report.router, report.session).takeIf { state.sessions[it.router] != it.session }
        val moves = report.usage.mapNotNull { moveOf(state, report, it) }
        return when {
            start == null && moves.isEmpty() -> copy(ready = ready + message)
            else -> copy(
                state = apply(state, MoveAllowances(listOfNotNull(start), moves)),
                sessions = sessions + listOfNotNull(start),
                moves = this.moves + moves,
                waiting = waiting + message,
            )
        }
    }

    private fun moveOf(state: CoordinationState, report: RouterReport, usage: AllowanceUsage): AllowanceMove? {
        val row = state.budgets[usage.organisation] ?: BudgetRow()
        val session = row.sessions[report.session] ?: SessionAllowance()
        val total = state.configuration?.budgets?.get(usage.organisation) ?: 0
        val pool = unissued(state, usage.organisation, row).coerceAtLeast(0)
        val issued = maxOf(usage.needed, minOf(usage.wanted, pool / LARGEST_PART)).coerceIn(0, pool)
        val isSpending = usage.settled - session.settled > total / UNRECORDED_PART
        val isMoving = issued > 0 || usage.returned > session.returned || isSpending
        val move = AllowanceMove(usage.organisation, report.session, issued, usage.returned, usage.settled)
        return move.takeIf { isMoving }
    }

    /** What the reports of one tick lead to; [state] is the state after the moves so far. */
    private data class AllowancePlan(
        val state: CoordinationState,
        val sessions: List<SessionStart> = emptyList(),
        val moves: List<AllowanceMove> = emptyList(),
        val waiting: List<ReportReceived> = emptyList(),
        val ready: List<ReportReceived> = emptyList(),
    )
}
