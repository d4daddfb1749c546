/**
 * Makes the machine of a control replica and restores its tables.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.initialRecords
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.coordination.internal.CoordinationMachine
import org.ibismoor.coordination.internal.apply
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val FIRST_EPOCH = 1

fun createCoordination(
    codec: CoordinationCodec,
    settings: CoordinationSettings = CoordinationSettings(),
): TickMachine<CoordinationTables, CoordinationMessage, CoordinationEffect> = CoordinationMachine(codec, settings)

/** The replica that a VM runs on the data folder with which the fleet first started. */
fun bootstrapReplica(host: String): ReplicaId = ReplicaId(FailureDomainId(host), FIRST_EPOCH)

/** The host on which [replica] runs. */
fun hostOf(replica: ReplicaId): String = replica.domain.text

/** Records of each member of a new fleet on [hosts]. */
fun bootstrapRecords(hosts: List<String>): List<ConsensusRecord> = initialRecords(hosts.map(::bootstrapReplica))

/** The circumstances of one start. [seed] differs between replicas and starts. */
data class CoordinationStart(val replica: ReplicaId, val seeds: List<String>, val seed: Long, val time: Timestamp)

/** The tables after a start from the [records] of the log, in the order in which they were written. */
fun restoreCoordination(
    start: CoordinationStart,
    records: List<ConsensusRecord>,
    codec: CoordinationCodec,
): CoordinationTables {
    val restored = restoreConsensus(start.replica, records, start.seed, start.time)
    val snapshot = restored.snapshot
    val commands = restored.committed.mapNotNull { it.content as? CommandContent }
    val first = snapshot?.let { codec.readState(it.payload) } ?: CoordinationState()
    return CoordinationTables(
        replica = start.replica,
        consensus = restored.tables,
        state = commands.fold(first) { state, content -> apply(state, codec.readCommand(content.payload)) },
        appliedIndex = restored.committed.lastOrNull()?.index ?: snapshot?.index ?: 0,
        seeds = start.seeds,
        growth = LogGrowth(commands.size, commands.sumOf { it.payload.length.toLong() }),
    )
}
