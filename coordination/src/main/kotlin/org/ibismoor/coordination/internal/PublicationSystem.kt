/**
 * Proposes publications. A version that is not higher than the committed one is confirmed without a log entry:
 * committed entries are never lost, and the publication would change nothing. While the group of a new fleet is still
 * growing, a quorum of it could lose all its disks at once, so publications are left unconfirmed until it is complete.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PendingPublication
import org.ibismoor.coordination.api.PublicationReceived
import org.ibismoor.coordination.api.PublishConfiguration
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps

internal class PublicationSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep =
        foldSteps(tables, tick.messages.filterIsInstance<PublicationReceived>()) { table, message ->
            proposePublication(table, message, tick.now)
        }

    private fun proposePublication(
        tables: CoordinationTables,
        message: PublicationReceived,
        now: Timestamp,
    ): CoordinationStep {
        val current = tables.state.configuration
        val isOutdated = current != null && message.configuration.version <= current.version
        return when {
            isOutdated -> CoordinationStep(tables, listOf(AnswerPublication(message.reply, Confirmed(current))))
            tables.leadingSince == null ->
                CoordinationStep(tables, listOf(AnswerPublication(message.reply, redirectAnswer(tables))))
            tables.isGroupGrowing(settings, now) ->
                CoordinationStep(tables, listOf(AnswerPublication(message.reply, Unconfirmed)))
            else -> {
                val payload = codec.writeCommand(PublishConfiguration(message.configuration))
                CoordinationStep(proposeCommand(tables, payload, listOf(PendingPublication(message.reply))))
            }
        }
    }
}
