/**
 * Opens the data folder of a replica and decides which replica it is.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.storage.api.RecordStore
import java.security.SecureRandom

private const val LOG_NAME = "coordination"
private const val FIRST_LATER_EPOCH = 2

/** What a start found: the log, and the records to restore from. */
internal class OpenedReplica(val log: ReplicaLog, val replica: ReplicaId, val records: List<ConsensusRecord>)

/**
 * Opens the folder. A folder without content is that of a founder at the first start of the fleet, and later that of a
 * new replica with an epoch of its own, which votes only after the others have taken it as a member.
 */
internal fun openReplica(settings: CoordinatorSettings, store: RecordStore): OpenedReplica {
    val log = ReplicaLog(store.open(LOG_NAME))
    val known = log.replica
    return when {
        known != null -> OpenedReplica(log, known, log.records)
        settings.isFirstStart && settings.host in settings.seedHosts ->
            found(log, bootstrapReplica(settings.host), bootstrapRecords(settings.seedHosts))
        else -> found(log, laterReplica(settings.host), emptyList())
    }
}

private fun found(log: ReplicaLog, replica: ReplicaId, records: List<ConsensusRecord>): OpenedReplica {
    log.create(replica, records)
    return OpenedReplica(log, replica, records)
}

private fun laterReplica(host: String): ReplicaId =
    ReplicaId(FailureDomainId(host), SecureRandom().nextInt(FIRST_LATER_EPOCH, Int.MAX_VALUE))
