/**
 * Opens the data folder of a control process and determines the identity of its replica.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.storage.api.MemoryStore
import org.ibismoor.storage.api.RecordStore
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.createFileStore
import java.security.SecureRandom

private const val LOG_NAME = "coordination"
private const val FIRST_NEW_EPOCH = 2

/** The open log of a replica, its identity and the records to restore its state from. */
internal class OpenedReplica(val log: ReplicaLog, val replica: ReplicaId, val records: List<ConsensusRecord>)

/** The store of the replica: its data folder, or memory for an observer, which has nothing to keep. */
internal fun replicaStore(settings: CoordinatorSettings): RecordStore =
    settings.dataFolder?.let(::createFileStore) ?: MemoryStore()

/**
 * Opens the folder. An empty folder belongs to a bootstrap replica at the first start of the fleet, and otherwise to a
 * new replica with a random epoch, which votes only after the other replicas have added it as a member.
 */
internal fun openReplica(settings: CoordinatorSettings, store: RecordStore): OpenedReplica {
    val log = ReplicaLog(store.open(LOG_NAME))
    val storedReplica = log.replica
    val isBootstrapMember = settings.isFirstStart && !settings.isObserver && settings.host in settings.seedHosts
    return when {
        storedReplica != null -> OpenedReplica(log, storedReplica, log.records)
        isBootstrapMember ->
            createReplicaLog(log, bootstrapReplica(settings.host), bootstrapRecords(settings.seedHosts))
        else -> createReplicaLog(log, newReplica(settings.host), emptyList())
    }
}

private fun createReplicaLog(log: ReplicaLog, replica: ReplicaId, records: List<ConsensusRecord>): OpenedReplica {
    try {
        log.initialize(replica, records)
    } catch (e: StorageException) {
        // The folder is opened again once the disk has space, which needs its lock.
        log.close()
        throw e
    }
    return OpenedReplica(log, replica, records)
}

private fun newReplica(host: String): ReplicaId =
    ReplicaId(FailureDomainId(host), SecureRandom().nextInt(FIRST_NEW_EPOCH, Int.MAX_VALUE))
