/**
 * Checks before the first vote of a founder that no founder has lost its folder. Every other member has to report its
 * own folder and which folder of this replica it has seen. If one has seen another folder, this one was created after
 * the first was lost, and the replica must not vote, since it could vote twice in one term.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.getJson
import java.util.concurrent.TimeUnit

internal const val IDENTITY_PATH = "${InternalPaths.PREFIX}/identity"
private const val RETRY_INTERVAL_MILLIS = 200L

/** Answer to `GET /internal/v1/identity`. */
@Serializable
internal data class IdentityAnswer(val replica: ReplicaId, val folder: String, val seen: Map<ReplicaId, String>)

internal class FolderCheck(
    private val client: InternalClient,
    private val identity: FolderIdentity,
    private val peers: Map<ReplicaId, String>,
) {
    /**
     * Waits until every peer has answered. The result is the records to store, or null as soon as a peer has seen
     * another folder of this replica.
     */
    fun awaitPeers(): List<FolderRecord>? {
        var answers = requestMissing(emptyMap())
        while (answers.size < identity.founders.size && !answers.values.any(::hasSeenOtherFolder)) {
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS)
            answers = requestMissing(answers)
        }
        val records = answers.values.map { PeerFolderSeen(it.replica, it.folder) } + FolderChecked
        return records.takeUnless { answers.values.any(::hasSeenOtherFolder) }
    }

    private fun hasSeenOtherFolder(answer: IdentityAnswer): Boolean {
        val seen = answer.seen[identity.creation.replica]
        return seen != null && seen != identity.creation.folder
    }

    private fun requestMissing(answers: Map<ReplicaId, IdentityAnswer>): Map<ReplicaId, IdentityAnswer> =
        answers + (identity.founders - answers.keys).mapNotNull(::requestIdentity).associateBy { it.replica }

    private fun requestIdentity(replica: ReplicaId): IdentityAnswer? {
        val url = checkNotNull(peers[replica]) { "no address of $replica is known" }
        val result = client.getJson<IdentityAnswer>(url + IDENTITY_PATH).get()
        return (result as? CallResult.Answered)?.answer?.takeIf { it.replica == replica }
    }
}
