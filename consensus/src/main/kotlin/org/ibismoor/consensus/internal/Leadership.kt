/**
 * State that a replica has only while it is the leader.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

internal data class Leadership(
    /** Index of the first entry of the term of this leader. */
    val firstIndex: Long,
    val heartbeatDue: Timestamp,
    val peers: PersistentMap<ReplicaId, PeerRow>,
    /** Number of the last broadcast; the answers to it confirm reads. */
    val round: Long = 0,
    /** Numbers of the uncommitted proposals, by the index of their entry. */
    val proposals: PersistentMap<Long, Long> = persistentHashMapOf(),
    val reads: PersistentList<ReadRow> = persistentListOf(),
    val transfer: TransferRow? = null,
)
