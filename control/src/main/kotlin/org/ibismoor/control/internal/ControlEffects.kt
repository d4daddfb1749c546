/**
 * Performs the effects of a tick on the control thread: first all writes, in order and with one sync for adjacent
 * appends to the same log, then the messages and answers, which may always be sent later. A failed write or sync is
 * rethrown and ends the process.
 */
package org.ibismoor.control.internal

import io.micrometer.core.instrument.Timer
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.fleet.api.SyncConsensus
import org.ibismoor.fleet.api.SyncLedger
import org.ibismoor.runtime.api.EffectHandler

internal class ControlEffects(
    private val folder: DataFolder,
    private val dispatcher: EffectDispatcher,
    private val syncTimer: Timer,
) : EffectHandler<ControlTables, ControlEffect> {
    override fun perform(tables: ControlTables, effects: List<ControlEffect>) {
        mergeAppends(effects.filter(::isWrite)).forEach { effect -> syncTimer.record(Runnable { write(effect) }) }
        effects.filterNot(::isWrite).forEach(dispatcher::dispatch)
    }

    private fun isWrite(effect: ControlEffect): Boolean =
        effect is SyncConsensus || effect is SyncLedger || effect is ReplaceConsensus || effect is ReplaceLedger

    private fun mergeAppends(effects: List<ControlEffect>): List<ControlEffect> =
        effects.fold(emptyList()) { merged, effect ->
            val joined = merged.lastOrNull()?.let { joinAppends(it, effect) }
            if (joined == null) merged + effect else merged.dropLast(1) + joined
        }

    private fun joinAppends(first: ControlEffect, second: ControlEffect): ControlEffect? =
        when {
            first is SyncConsensus && second is SyncConsensus -> SyncConsensus(first.records + second.records)
            first is SyncLedger && second is SyncLedger -> SyncLedger(first.records + second.records)
            else -> null
        }

    private fun write(effect: ControlEffect) =
        when (effect) {
            is SyncConsensus -> folder.consensus.append(effect.records)
            is SyncLedger -> folder.ledger.append(effect.records)
            is ReplaceConsensus -> folder.consensus.replace(effect.records)
            is ReplaceLedger -> folder.ledger.replace(effect.records)
            else -> Unit
        }
}
