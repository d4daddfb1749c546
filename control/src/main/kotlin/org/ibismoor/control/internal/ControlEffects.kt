/**
 * Performs the effects of a tick on the control thread: first all records, in order and with one sync for adjacent
 * records of the same log, then whatever depends on them. Sending later than asked is always allowed. A failed write
 * or sync is thrown on and ends the process.
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
    private val outbound: Outbound,
    private val syncTimer: Timer,
) : EffectHandler<ControlTables, ControlEffect> {
    override fun perform(tables: ControlTables, effects: List<ControlEffect>) {
        merged(effects.filter(::isRecord)).forEach { effect -> syncTimer.record(Runnable { write(effect) }) }
        effects.filterNot(::isRecord).forEach(outbound::send)
    }

    private fun isRecord(effect: ControlEffect): Boolean =
        effect is SyncConsensus || effect is SyncLedger || effect is ReplaceConsensus || effect is ReplaceLedger

    private fun merged(effects: List<ControlEffect>): List<ControlEffect> =
        effects.fold(emptyList()) { written, effect ->
            val joined = written.lastOrNull()?.let { join(it, effect) }
            if (joined == null) written + effect else written.dropLast(1) + joined
        }

    private fun join(first: ControlEffect, second: ControlEffect): ControlEffect? =
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
