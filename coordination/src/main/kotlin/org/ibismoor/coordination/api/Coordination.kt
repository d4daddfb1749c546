/**
 * Creates the state machine of a control replica and restores its tables from the log.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.initialRecords
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.coordination.internal.CoordinationMachine
import org.ibismoor.coordination.internal.applyEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val FIRST_EPOCH = 1

fun createCoordination(
    codec: CoordinationCodec,
    settings: CoordinationSettings = CoordinationSettings(),
): TickMachine<CoordinationTables, CoordinationMessage, CoordinationEffect> = CoordinationMachine(codec, settings)

/**
 * The replica on [host] of a fleet that starts for the first time. A replica with a new data folder has a later epoch.
 */
fun bootstrapReplica(host: String): ReplicaId = ReplicaId(FailureDomainId(host), FIRST_EPOCH)

fun hostOf(replica: ReplicaId): String = replica.domain.text

/** Initial log of each replica of a new fleet on [hosts]. */
fun bootstrapRecords(hosts: List<String>): List<ConsensusRecord> = initialRecords(hosts.map(::bootstrapReplica))

/** Parameters of one start of a replica. [randomSeed] must differ between replicas and between starts. */
data class CoordinationStart(
    val replica: ReplicaId,
    val seedHosts: List<String>,
    val randomSeed: Long,
    val time: Timestamp,
    val isObserver: Boolean = false,
)

/** Restores the tables from the [records] of the log, in the order in which they were written. */
fun restoreCoordination(
    start: CoordinationStart,
    records: List<ConsensusRecord>,
    codec: CoordinationCodec,
    settings: CoordinationSettings = CoordinationSettings(),
): CoordinationTables {
    val restored = restoreConsensus(start.replica, records, start.randomSeed, start.time, settings.consensus)
    val snapshot = restored.snapshot
    val commands = restored.committed.mapNotNull { entry ->
        (entry.content as? CommandContent)?.let { entry.index to it }
    }
    val snapshotState = snapshot?.let { codec.readState(it.payload) } ?: CoordinationState()
    return CoordinationTables(
        replica = start.replica,
        consensus = restored.tables,
        state = commands.fold(snapshotState) { state, (index, command) ->
            applyEntry(state, codec.readCommand(command.payload), index)
        },
        appliedIndex = restored.committed.lastOrNull()?.index ?: snapshot?.index ?: 0,
        seedHosts = start.seedHosts,
        isObserver = start.isObserver,
        growth = LogGrowth(commands.size, commands.sumOf { (_, command) -> command.payload.length.toLong() }),
    )
}
