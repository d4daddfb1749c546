/**
 * Answers reports of routers. Reports that start a session, move tokens, or tell or ask of the beginnings of streams,
 * and all reports to a leader that has not applied an entry of its own term, are answered after one log entry that
 * covers all such reports of the tick is committed; the others are answered at once. A deposed leader may not know of a
 * software version, and it commits nothing.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AllowanceMove
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.BegunStreams
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.NotifySessionStart
import org.ibismoor.coordination.api.PendingReport
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.api.SessionStart
import org.ibismoor.coordination.api.StreamChanges
import org.ibismoor.core.api.Tick

/** Spending alone is logged when the amount not yet in the log exceeds the budget divided by this number. */
private const val UNLOGGED_SPENDING_DIVISOR = 200L
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
                CoordinationStep(tables, received.map { AnswerReport(it.reply, notLeadingAnswer(tables)) })
            else -> processReports(tables, received)
        }
    }

    private fun processReports(tables: CoordinationTables, received: List<ReportReceived>): CoordinationStep {
        val isComplete = hasAppliedEarlierTerms(tables)
        val emptyPlan = AllowancePlan(tables.state, SessionSpending(tables))
        val plan = received.fold(emptyPlan) { plan, message -> plan.withReport(message, isComplete) }
        val exchanges = plan.deferred.map { PendingReport(it.reply, it.report) }
        val next = when {
            exchanges.isEmpty() -> tables
            else -> proposeCommand(tables, codec.writeCommand(plan.command()), exchanges)
        }
        val starts = plan.sessions.map { sessionNotice(tables.state, it) }
        val reportAnswers = ReportAnswers(tables, settings)
        val answers = plan.immediate.map { AnswerReport(it.reply, reportAnswers.answer(it.report)) }
        return CoordinationStep(next, answers + starts)
    }

    private fun sessionNotice(state: CoordinationState, start: SessionStart): NotifySessionStart {
        val total = state.configuration?.budgets?.values.orEmpty().sum().coerceAtLeast(1)
        val earlier = state.sessions[start.router]
        val allowances = state.budgets.values.mapNotNull { row -> earlier?.let(row.sessions::get) }
        val held = allowances.sumOf { it.held }
        val stranded = allowances.sumOf { (it.held - it.settled).coerceAtLeast(0) }
        val startedState = applyCommand(state, MoveAllowances(listOf(start), emptyList()))
        val spent = startedState.budgets.values.sumOf { it.loggedSpending }
        return NotifySessionStart(
            start.router,
            heldPerMille = held * PER_MILLE / total,
            strandedPerMille = stranded * PER_MILLE / total,
            unspentPerMille = (total - spent) * PER_MILLE / total,
        )
    }

    private fun AllowancePlan.withReport(message: ReportReceived, isStateComplete: Boolean): AllowancePlan {
        val report = message.report
        val start = SessionStart(report.router, report.session).takeIf { state.sessions[it.router] != it.session }
        val moves = report.usage.mapNotNull { moveFor(report, it) }
        return when {
            start == null && moves.isEmpty() && report.streams == null && isStateComplete ->
                copy(immediate = immediate + message)
            else -> copy(
                state = applyCommand(state, MoveAllowances(listOfNotNull(start), moves)),
                sessions = sessions + listOfNotNull(start),
                moves = this.moves + moves,
                begun = begun + report.streams?.begun.orEmpty(),
                deferred = deferred + message,
            )
        }
    }

    private fun AllowancePlan.moveFor(report: RouterReport, usage: AllowanceUsage): AllowanceMove? {
        val row = state.budgets[usage.organisation] ?: BudgetRow()
        val session = row.sessions[report.session] ?: SessionAllowance()
        val total = state.configuration?.budgets?.get(usage.organisation) ?: 0
        val issued = if (usage.wanted > 0) issuedTokens(row, usage, total) else 0
        val isSpendingDue = usage.settled - session.settled > total / UNLOGGED_SPENDING_DIVISOR
        val isMoveNeeded = issued > 0 || usage.returned > session.returned || isSpendingDue
        val move = AllowanceMove(usage.organisation, report.session, issued, usage.returned, usage.settled)
        return move.takeIf { isMoveNeeded }
    }

    private fun AllowancePlan.issuedTokens(row: BudgetRow, usage: AllowanceUsage, total: Long): Long {
        val organisation = usage.organisation
        val advance = if (usage.wanted > usage.needed) {
            val limit = spending.advanceTokens(row, organisation, total, settings.advanceDivisor)
            minOf(usage.wanted - usage.needed, limit)
        } else {
            0
        }
        return (usage.needed + advance).coerceIn(0, unissued(state, organisation, row).coerceAtLeast(0))
    }

    /** Result of the reports of one tick; [state] already includes the planned moves. */
    private data class AllowancePlan(
        val state: CoordinationState,
        val spending: SessionSpending,
        val sessions: List<SessionStart> = emptyList(),
        val moves: List<AllowanceMove> = emptyList(),
        val begun: List<BegunStreams> = emptyList(),
        /** Reports to answer once the planned command is committed. */
        val deferred: List<ReportReceived> = emptyList(),
        val immediate: List<ReportReceived> = emptyList(),
    ) {
        fun command() = MoveAllowances(sessions, moves, streams = joinedChanges(begun))
    }
}

/** A new leader may not have applied a configuration, budget or quarantine that the earlier one has confirmed. */
internal fun hasAppliedEarlierTerms(tables: CoordinationTables): Boolean {
    val firstIndex = tables.consensus.status().firstIndexOfTerm
    return firstIndex != null && tables.appliedIndex >= firstIndex
}

/** Null if no streams have begun. Streams with the same origin share one record. */
private fun joinedChanges(begun: List<BegunStreams>): StreamChanges? {
    val byOrigin = begun.groupBy({ it.origin }, { it.streams })
    val batches = byOrigin.map { (origin, streams) -> BegunStreams(origin, streams.flatten().distinct()) }
    return if (batches.isEmpty()) null else StreamChanges(begun = batches)
}
