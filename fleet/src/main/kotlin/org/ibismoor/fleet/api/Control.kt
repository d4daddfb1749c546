/**
 * Creates the state machine of a control replica and restores its tables.
 */
package org.ibismoor.fleet.api

import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.RestoredConsensus
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.fleet.internal.ControlMachine
import org.ibismoor.fleet.internal.replay
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.restoreDomainLedger
import org.ibismoor.membership.api.initialMembershipTables

/** [codec] defines the format of commands and snapshots in the replicated log. */
fun createControl(
    codec: FleetCodec,
    settings: ControlSettings = ControlSettings(),
): TickMachine<ControlTables, ControlMessage, ControlEffect> = ControlMachine(codec, settings)

/**
 * Restores the tables of [replica] from the records of its two logs, which are in the order of writing.
 */
fun restoreControl(
    replica: ReplicaId,
    logs: ControlLogs,
    codec: FleetCodec,
    settings: ControlSettings,
    start: ControlStart,
): ControlTables {
    val now = start.time
    val restored = restoreConsensus(replica, logs.consensus, start.seed, now, settings.consensus)
    val fleetReplay = replay(restored, codec)
    return ControlTables(
        replica = replica,
        consensus = restored.tables,
        fleet = fleetReplay.fleet,
        ledger = restoreDomainLedger(replica, logs.ledger, fleetReplay.fleet, now),
        shares = ShareTables(),
        membership = initialMembershipTables(replica, settings.membership, now)
            .copy(configuration = fleetReplay.fleet.configuration),
        appliedIndex = fleetReplay.index,
        growth = growthSinceSnapshot(restored, logs.ledger.size),
    )
}

/** Counts what earlier runs wrote; otherwise a replica that restarts often would never write a snapshot. */
private fun growthSinceSnapshot(restored: RestoredConsensus, ledgerRecords: Int): LogGrowth {
    val commands = restored.committed.map { it.content }.filterIsInstance<CommandContent>()
    return LogGrowth(commands.size, commands.sumOf { it.payload.length.toLong() }, ledgerRecords)
}

/** The [time] of a start and the [seed] of its random choices. */
data class ControlStart(val time: Timestamp, val seed: Long)

data class ControlLogs(val consensus: List<ConsensusRecord>, val ledger: List<DomainRecord>)
