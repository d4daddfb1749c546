/**
 * Applies committed commands and snapshots to the replicated state and answers whoever waits for them.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.compactRecords
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.CommittedCommand
import org.ibismoor.coordination.api.NotifyConfigurationChange
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.LogGrowth
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.coordination.api.Waiting
import org.ibismoor.coordination.api.WaitingPublication
import org.ibismoor.coordination.api.WaitingReport
import org.ibismoor.core.api.Tick

internal class ApplySystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        if (tables.committed.isEmpty()) return CoordinationStep(tables)
        val version = tables.state.configuration?.version
        val step = foldSteps(tables.copy(committed = persistentListOf()), tables.committed, ::applyOne)
        val moved = step.tables.state.configuration?.version?.takeIf { it != version }
        return CoordinationStep(step.tables, step.effects + listOfNotNull(moved?.let(::NotifyConfigurationChange)))
    }

    private fun applyOne(tables: CoordinationTables, command: CommittedCommand): CoordinationStep =
        when {
            command.term == SNAPSHOT_TERM -> restore(tables, command)
            command.payload.isEmpty() -> CoordinationStep(tables.copy(appliedIndex = command.index))
            else -> answer(applied(tables, command), command)
        }

    /** The log before the snapshot is of no more use, and replaying it would not lead to the snapshot's state. */
    private fun restore(tables: CoordinationTables, command: CommittedCommand): CoordinationStep {
        val next = tables.copy(
            state = codec.readState(command.payload),
            appliedIndex = command.index,
            growth = LogGrowth(),
        )
        return CoordinationStep(next, listOf(ReplaceRecords(compactRecords(next.consensus))))
    }

    private fun applied(tables: CoordinationTables, command: CommittedCommand): CoordinationTables {
        val growth = tables.growth
        return tables.copy(
            state = apply(tables.state, codec.readCommand(command.payload)),
            appliedIndex = command.index,
            growth = LogGrowth(growth.entries + 1, growth.characters + command.payload.length),
        )
    }

    /** The entry of another term at the same index is another leader's command. */
    private fun answer(tables: CoordinationTables, command: CommittedCommand): CoordinationStep {
        val found = tables.proposals.entries.firstOrNull { it.value.index == command.index }
            ?: return CoordinationStep(tables)
        val next = tables.copy(proposals = tables.proposals.remove(found.key))
        val isOwn = found.value.term == command.term
        return CoordinationStep(
            next,
            found.value.waiting.map { if (isOwn) confirmed(next, it) else unconfirmed(next, it) },
        )
    }

    private fun confirmed(tables: CoordinationTables, waiting: Waiting): CoordinationEffect =
        when (waiting) {
            is WaitingReport -> AnswerReport(waiting.reply, answerTo(tables, waiting.report, settings))
            is WaitingPublication -> AnswerPublication(waiting.reply, Confirmed(tables.state.configuration))
        }
}
