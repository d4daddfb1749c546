/**
 * The log of a replica on disk. Its first record holds the replica's identity, so that a folder that lost its content
 * never rejoins under the old identity.
 */
package org.ibismoor.gateway.internal.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.storage.api.OpenedLog

@Serializable
internal sealed interface ReplicaRecord

@Serializable
@SerialName("replica")
internal data class ReplicaIdentity(val replica: ReplicaId) : ReplicaRecord

@Serializable
@SerialName("log")
internal data class LogRecord(val record: ConsensusRecord) : ReplicaRecord

internal class ReplicaLog(opened: OpenedLog) : AutoCloseable {
    private val log = opened.log
    private val storedRecords = opened.records.map { InternalJson.decodeFromString<ReplicaRecord>(it) }

    /** The replica that the folder belongs to; null if the folder is empty. */
    var replica: ReplicaId? = storedRecords.filterIsInstance<ReplicaIdentity>().firstOrNull()?.replica
        private set

    /** The records that the folder held when it was opened. */
    val records: List<ConsensusRecord> = storedRecords.filterIsInstance<LogRecord>().map { it.record }

    val sizeBytes: Long get() = log.sizeBytes

    /** Writes [identity] and [initialRecords] in one atomic replacement. */
    fun initialize(identity: ReplicaId, initialRecords: List<ConsensusRecord>) {
        replica = identity
        replace(initialRecords)
    }

    fun append(records: List<ConsensusRecord>) = log.append(records.map(::encode))

    fun replace(records: List<ConsensusRecord>) {
        val owner = checkNotNull(replica) { "data folder has no replica identity; initialize the log first" }
        val identity = ReplicaIdentity(owner)
        val header = InternalJson.encodeToString<ReplicaRecord>(identity)
        log.replace(listOf(header) + records.map(::encode))
    }

    private fun encode(record: ConsensusRecord): String =
        InternalJson.encodeToString<ReplicaRecord>(LogRecord(record))

    override fun close() = log.close()
}
