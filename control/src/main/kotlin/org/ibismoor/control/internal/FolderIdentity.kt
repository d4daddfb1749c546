/**
 * Durable records of whose data folder this is. [FolderMade] is the first; a [PeerFolderSeen] for each other founder
 * and a [FolderChecked] follow when the first start has made sure that no founder lost a folder.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
internal sealed interface FolderRecord

/** [folder] is a random identifier that tells this folder from any other of the same replica. */
@Serializable
@SerialName("made")
internal data class FolderMade(
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

/** A founder starts with the group; a learner joins a group that runs and never votes before it is promoted. */
@Serializable
internal enum class FolderRole { FOUNDER, LEARNER }

/** What the records of a folder say together. */
internal data class FolderIdentity(val made: FolderMade, val seen: Map<ReplicaId, String>, val isChecked: Boolean) {
    /** The other replicas with which the group was made. */
    val founders: Set<ReplicaId> get() = made.members.toSet() - made.replica
}

/** This identity after [records] were added. */
internal fun FolderIdentity.with(records: List<FolderRecord>): FolderIdentity =
    copy(
        seen = seen + records.filterIsInstance<PeerFolderSeen>().associate { it.replica to it.folder },
        isChecked = isChecked || FolderChecked in records,
    )

internal fun identityOf(records: List<FolderRecord>): FolderIdentity? {
    val made = records.firstOrNull() as? FolderMade
    val seen = records.filterIsInstance<PeerFolderSeen>().associate { it.replica to it.folder }
    return made?.let { FolderIdentity(it, seen, FolderChecked in records) }
}
