/**
 * Makes sure before the first vote of a founder that no founder has lost its folder: every other member has to answer
 * which folder it has and which folder of this replica it has seen. A founder whose folder was made a second time
 * finds its first one remembered, and must not vote.
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
private const val RETRY_MILLIS = 200L

/** Answer to `GET /internal/v1/identity`. */
@Serializable
internal data class IdentityAnswer(val replica: ReplicaId, val folder: String, val seen: Map<ReplicaId, String>)

internal class FolderCheck(
    private val client: InternalClient,
    private val identity: FolderIdentity,
    private val peers: Map<ReplicaId, String>,
) {
    /** Waits for all peers. The records to keep, or null if the folder must not be used. */
    fun run(): List<FolderRecord>? {
        val answers = (identity.made.members - identity.made.replica).map(::ask)
        val isForgotten = answers.any { it.seen[identity.made.replica].let { seen -> seen != null && seen != own() } }
        return (answers.map { PeerFolderSeen(it.replica, it.folder) } + FolderChecked).takeUnless { isForgotten }
    }

    private fun own(): String = identity.made.folder

    private fun ask(replica: ReplicaId): IdentityAnswer {
        var answer = askOnce(replica)
        while (answer == null) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS)
            answer = askOnce(replica)
        }
        return answer
    }

    private fun askOnce(replica: ReplicaId): IdentityAnswer? {
        val url = checkNotNull(peers[replica]) { "no address of $replica is known" }
        val result = client.getJson<IdentityAnswer>(url + IDENTITY_PATH).get()
        return (result as? CallResult.Answered)?.answer?.takeIf { it.replica == replica }
    }
}
