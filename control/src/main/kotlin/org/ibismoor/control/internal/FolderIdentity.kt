/**
 * Durable records that identify the owner of a data folder. [FolderCreated] is the first. A [PeerFolderSeen] for each
 * other founder and a [FolderChecked] follow when the first start has verified that no founder lost its folder.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
internal sealed interface FolderRecord

/** [folder] is a random identifier that distinguishes this folder from any other folder of the same replica. */
@Serializable
@SerialName("made")
internal data class FolderCreated(
    val replica: ReplicaId,
    val folder: String,
    val role: FolderRole,
    val members: List<ReplicaId>,
) : FolderRecord

@Serializable
@SerialName("peer_seen")
internal data class PeerFolderSeen(val replica: ReplicaId, val folder: String) : FolderRecord

@Serializable
@SerialName("checked")
internal data object FolderChecked : FolderRecord

/** A founder is created with the group; a learner joins an existing group and does not vote until it is promoted. */
@Serializable
internal enum class FolderRole { FOUNDER, LEARNER }

/** The records of a folder taken together. [peerFolders] has the folder of each other founder once it is known. */
internal data class FolderIdentity(
    val creation: FolderCreated,
    val peerFolders: Map<ReplicaId, String>,
    val isChecked: Boolean,
) {
    /** The other replicas of the group at its creation. */
    val founders: Set<ReplicaId> get() = creation.members.toSet() - creation.replica
}

internal fun FolderIdentity.withRecords(records: List<FolderRecord>): FolderIdentity =
    copy(
        peerFolders = peerFolders + records.filterIsInstance<PeerFolderSeen>().associate { it.replica to it.folder },
        isChecked = isChecked || FolderChecked in records,
    )

internal fun identityOf(records: List<FolderRecord>): FolderIdentity? {
    val creation = records.firstOrNull() as? FolderCreated
    val peerFolders = records.filterIsInstance<PeerFolderSeen>().associate { it.replica to it.folder }
    return creation?.let { FolderIdentity(it, peerFolders, FolderChecked in records) }
}
