/**
 * State that exists only while a replica leads.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

internal data class Leadership(
    /** Index of the entry with which this leader began its term. */
    val firstIndex: Long,
    val heartbeatDue: Timestamp,
    val peers: PersistentMap<ReplicaId, PeerRow>,
    /** Number of the last broadcast; its answers confirm reads. */
    val round: Long = 0,
    /** Proposals that are appended and not committed, by index. */
    val proposals: PersistentMap<Long, Long> = persistentHashMapOf(),
    val reads: PersistentList<ReadRow> = persistentListOf(),
    val transfer: TransferRow? = null,
)
