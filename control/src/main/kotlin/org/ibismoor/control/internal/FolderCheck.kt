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
    /** Waits for all peers. The records to keep, or null as soon as one of them remembers another folder. */
    fun run(): List<FolderRecord>? {
        var answers = askAll(emptyMap())
        while (answers.size < identity.founders.size && !answers.values.any(::isForgotten)) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS)
            answers = askAll(answers)
        }
        val records = answers.values.map { PeerFolderSeen(it.replica, it.folder) } + FolderChecked
        return records.takeUnless { answers.values.any(::isForgotten) }
    }

    private fun isForgotten(answer: IdentityAnswer): Boolean {
        val seen = answer.seen[identity.made.replica]
        return seen != null && seen != identity.made.folder
    }

    private fun askAll(known: Map<ReplicaId, IdentityAnswer>): Map<ReplicaId, IdentityAnswer> =
        known + (identity.founders - known.keys).mapNotNull(::askOnce).associateBy { it.replica }

    private fun askOnce(replica: ReplicaId): IdentityAnswer? {
        val url = checkNotNull(peers[replica]) { "no address of $replica is known" }
        val result = client.getJson<IdentityAnswer>(url + IDENTITY_PATH).get()
        return (result as? CallResult.Answered)?.answer?.takeIf { it.replica == replica }
    }
}
