/**
 * Replication progress of one peer, kept by the leader.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.Timestamp

internal data class PeerRow(
    val nextIndex: Long,
    val lastContactAt: Timestamp,
    /** Highest index up to which the log of the peer is known to be durable and to match. */
    val matchIndex: Long = 0,
    /** Whether the leader still searches for the last matching entry. It sends no entries until it is found. */
    val isProbing: Boolean = true,
    val isProbeDue: Boolean = false,
    val round: Long = 0,
    val outgoing: OutgoingSnapshot? = null,
)
