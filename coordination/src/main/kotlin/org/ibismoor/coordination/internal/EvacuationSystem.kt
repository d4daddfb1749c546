/**
 * Proposes operators' orders on failure domains. Each order becomes a log entry, also one that changes nothing: a
 * deposed leader does not know of later orders and must not confirm anything.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.EvacuationChange
import org.ibismoor.coordination.api.EvacuationRequested
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.PendingEvacuation
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps

internal class EvacuationSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep =
        foldSteps(tables, tick.messages.filterIsInstance<EvacuationRequested>()) { table, message ->
            proposeOrder(table, message, tick.now)
        }

    private fun proposeOrder(
        tables: CoordinationTables,
        message: EvacuationRequested,
        now: Timestamp,
    ): CoordinationStep =
        when {
            tables.leadingSince == null ->
                CoordinationStep(tables, listOf(AnswerEvacuation(message.reply, redirectAnswer(tables))))
            tables.isGroupGrowing(settings, now) ->
                CoordinationStep(tables, listOf(AnswerEvacuation(message.reply, Unconfirmed)))
            else -> {
                val change = EvacuationChange(message.domain, message.isEvacuated)
                val payload =
                    codec.writeCommand(MoveAllowances(emptyList(), emptyList(), evacuations = listOf(change)))
                CoordinationStep(proposeCommand(tables, payload, listOf(PendingEvacuation(message.reply))))
            }
        }
}
