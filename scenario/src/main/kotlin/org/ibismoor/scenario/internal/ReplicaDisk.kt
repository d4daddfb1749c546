/**
 * Writes the logs of control processes to their simulated disks.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.fleet.api.SyncConsensus
import org.ibismoor.fleet.api.SyncLedger
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.scenario.api.Defect
import org.ibismoor.scenario.api.ProcessAction
import org.ibismoor.scenario.api.TraceKind

/** A log is replaced by renaming a file, so a fault during that write leaves the old log intact. */
internal fun failWrite(world: World, host: ReplicaHost, effect: ControlEffect): World {
    val isTorn = host.diskFault == ProcessAction.TEAR_WRITE
    val dead = host.copy(tables = null, inbox = persistentListOf(), diskFault = null)
    val next = when {
        isTorn && effect is SyncConsensus -> dead.copy(consensusLog = dead.consensusLog + firstHalf(effect.records))
        isTorn && effect is SyncLedger -> dead.copy(ledgerLog = dead.ledgerLog + firstHalf(effect.records))
        else -> dead
    }
    return world.copy(replicas = world.replicas.put(host.replica.domain, next))
}

private fun <T> firstHalf(records: List<T>): List<T> = records.take(records.size / 2)

internal val ControlEffect.isWrite: Boolean
    get() = this is SyncConsensus || this is SyncLedger || this is ReplaceConsensus || this is ReplaceLedger

internal fun syncLedger(world: World, domain: FailureDomainId, effect: SyncLedger): World =
    writeDisk(traceCharges(world, domain, effect), domain) {
        it.copy(ledgerLog = it.ledgerLog + recordsToSync(world, effect))
    }

private fun recordsToSync(world: World, effect: SyncLedger): List<DomainRecord> =
    when (Defect.UNSYNCED_CHARGES) {
        in world.defects -> effect.records.filterNot { it is ChargeRecord }
        else -> effect.records
    }

private fun traceCharges(world: World, domain: FailureDomainId, effect: SyncLedger): World =
    effect.records.filterIsInstance<ChargeRecord>().fold(world) { state, record ->
        state.withTraceLine(TraceKind.DECISION, "$domain charges ${record.charge}")
    }

internal fun writeDisk(world: World, domain: FailureDomainId, write: (ReplicaHost) -> ReplicaHost): World =
    world.copy(replicas = world.replicas.put(domain, write(world.replicas.getValue(domain))))
