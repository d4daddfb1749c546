/**
 * Answers reads of the configuration after the quorum has confirmed that this replica leads, so that a deposed leader
 * never answers with a configuration older than an acknowledged one.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.ReadIndexRequested
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PendingRead
import org.ibismoor.coordination.api.ReadReceived
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps

internal class ReadSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val opened = foldSteps(tables, tick.messages.filterIsInstance<ReadReceived>(), ::openRead)
        val answered = answerConfirmedReads(opened.tables)
        return CoordinationStep(answered.tables, opened.effects + answered.effects)
    }

    private fun openRead(tables: CoordinationTables, message: ReadReceived): CoordinationStep {
        if (tables.leadingSince == null) {
            return CoordinationStep(tables, listOf(AnswerRead(message.reply, redirectAnswer(tables))))
        }
        val number = tables.nextNumber
        return CoordinationStep(
            tables.copy(
                nextNumber = number + 1,
                reads = tables.reads.put(number, PendingRead(message.reply)),
                consensusInputs = tables.consensusInputs.add(ReadIndexRequested(number)),
            ),
        )
    }

    private fun answerConfirmedReads(tables: CoordinationTables): CoordinationStep {
        val ready = tables.reads.filterValues { read -> read.index.let { it != null && it <= tables.appliedIndex } }
        if (ready.isEmpty()) return CoordinationStep(tables)
        val remaining = ready.keys.fold(tables.reads) { table, number -> table.remove(number) }
        return CoordinationStep(
            tables.copy(reads = remaining),
            ready.values.map { AnswerRead(it.reply, Confirmed(tables.state.configuration)) },
        )
    }
}
