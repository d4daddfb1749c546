/**
 * Answers reads of the configuration after the quorum has confirmed that this replica leads, so that a deposed leader
 * never shows an older configuration than one that was acknowledged.
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

internal class ReadSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val asked = foldSteps(tables, tick.messages.filterIsInstance<ReadReceived>(), ::ask)
        val answered = answer(asked.tables)
        return CoordinationStep(answered.tables, asked.effects + answered.effects)
    }

    private fun ask(tables: CoordinationTables, message: ReadReceived): CoordinationStep {
        if (tables.leadingSince == null) {
            return CoordinationStep(tables, listOf(AnswerRead(message.reply, elsewhere(tables))))
        }
        val number = tables.nextNumber
        return CoordinationStep(
            tables.copy(
                nextNumber = number + 1,
                reads = tables.reads.put(number, PendingRead(message.reply)),
                inputs = tables.inputs.add(ReadIndexRequested(number)),
            ),
        )
    }

    private fun answer(tables: CoordinationTables): CoordinationStep {
        val ready = tables.reads.filterValues { read -> read.index.let { it != null && it <= tables.appliedIndex } }
        if (ready.isEmpty()) return CoordinationStep(tables)
        val reads = ready.keys.fold(tables.reads) { table, number -> table.remove(number) }
        return CoordinationStep(
            tables.copy(reads = reads),
            ready.values.map { AnswerRead(it.reply, Confirmed(tables.state.configuration)) },
        )
    }
}
