/**
 * Makes the machine of a control replica and restores its tables.
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

/** The machine of a control replica. [codec] gives the format of commands and snapshots. */
fun createControl(
    codec: FleetCodec,
    settings: ControlSettings = ControlSettings(),
): TickMachine<ControlTables, ControlMessage, ControlEffect> = ControlMachine(codec, settings)

/**
 * The tables of [replica] after a start from the records of its two logs, in the order in which they were written.
 */
fun restoreControl(
    replica: ReplicaId,
    logs: ControlLogs,
    codec: FleetCodec,
    settings: ControlSettings,
    start: ControlStart,
): ControlTables {
    val now = start.time
    val restored = restoreConsensus(replica, logs.consensus, start.seed, now)
    val replayed = replay(restored, codec)
    return ControlTables(
        replica = replica,
        consensus = restored.tables,
        fleet = replayed.fleet,
        ledger = restoreDomainLedger(replica, logs.ledger, replayed.fleet, now),
        shares = ShareTables(),
        membership = initialMembershipTables(replica, settings.membership, now)
            .copy(configuration = replayed.fleet.configuration),
        appliedIndex = replayed.index,
        growth = growthOf(restored, logs.ledger.size),
    )
}

/** Without the growth of earlier runs, a replica that restarts often would never write a snapshot. */
private fun growthOf(restored: RestoredConsensus, ledgerRecords: Int): LogGrowth {
    val commands = restored.committed.map { it.content }.filterIsInstance<CommandContent>()
    return LogGrowth(commands.size, commands.sumOf { it.payload.length.toLong() }, ledgerRecords)
}

/** The circumstances of one start: its [time] and the [seed] of the random choices that follow. */
data class ControlStart(val time: Timestamp, val seed: Long)

/** The records of the two logs of a control replica. */
data class ControlLogs(val consensus: List<ConsensusRecord>, val ledger: List<DomainRecord>)
