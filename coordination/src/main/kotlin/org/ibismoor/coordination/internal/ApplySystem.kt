/**
 * Applies committed commands and snapshots to the replicated state and answers the exchanges that wait for them.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.compactRecords
import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.CommittedCommand
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.LogGrowth
import org.ibismoor.coordination.api.NotifyConfigurationChange
import org.ibismoor.coordination.api.PendingEvacuation
import org.ibismoor.coordination.api.PendingExchange
import org.ibismoor.coordination.api.PendingPublication
import org.ibismoor.coordination.api.PendingReport
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps

internal class ApplySystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        if (tables.committedCommands.isEmpty()) return CoordinationStep(tables)
        val previousVersion = tables.state.configuration?.version
        val emptied = tables.copy(committedCommands = persistentListOf())
        val step = foldSteps(emptied, tables.committedCommands, ::applyCommitted)
        val newVersion = step.tables.state.configuration?.version?.takeIf { it != previousVersion }
        val notices = listOfNotNull(
            newVersion?.let(::NotifyConfigurationChange),
            evacuationNotice(tables.state, step.tables.state),
        )
        return CoordinationStep(step.tables, step.effects + notices)
    }

    private fun applyCommitted(tables: CoordinationTables, command: CommittedCommand): CoordinationStep =
        when {
            command.term == SNAPSHOT_TERM -> restoreSnapshot(tables, command)
            command.payload.isEmpty() -> CoordinationStep(tables.copy(appliedIndex = command.index))
            else -> answerProposal(withCommand(tables, command), command)
        }

    /** Also replaces the log on disk: replaying the entries before the snapshot would not restore its state. */
    private fun restoreSnapshot(tables: CoordinationTables, command: CommittedCommand): CoordinationStep {
        val next = tables.copy(
            state = codec.readState(command.payload),
            appliedIndex = command.index,
            growth = LogGrowth(),
        )
        return CoordinationStep(next, listOf(ReplaceRecords(compactRecords(next.consensus))))
    }

    private fun withCommand(tables: CoordinationTables, command: CommittedCommand): CoordinationTables {
        val growth = tables.growth
        return tables.copy(
            state = applyEntry(tables.state, codec.readCommand(command.payload), command.index),
            appliedIndex = command.index,
            growth = LogGrowth(growth.entries + 1, growth.characters + command.payload.length),
        )
    }

    /** An entry of a different term at the index of a proposal is a command of another leader. */
    private fun answerProposal(tables: CoordinationTables, command: CommittedCommand): CoordinationStep {
        val (number, proposal) = tables.proposals.entries.firstOrNull { it.value.index == command.index }
            ?: return CoordinationStep(tables)
        val next = tables.copy(proposals = tables.proposals.remove(number))
        val isOwn = proposal.term == command.term
        val reportAnswers = ReportAnswers(next, settings)
        val answers = proposal.exchanges.map { exchange ->
            if (isOwn) confirmedAnswer(next, exchange, reportAnswers) else unconfirmedAnswer(next, exchange)
        }
        return CoordinationStep(next, answers)
    }

    private fun confirmedAnswer(
        tables: CoordinationTables,
        exchange: PendingExchange,
        reportAnswers: ReportAnswers,
    ): CoordinationEffect =
        when (exchange) {
            is PendingReport -> AnswerReport(exchange.reply, reportAnswers.answer(exchange.report))
            is PendingPublication -> AnswerPublication(exchange.reply, Confirmed(tables.state.configuration))
            is PendingEvacuation -> AnswerEvacuation(exchange.reply, Confirmed(tables.state.configuration))
        }
}
