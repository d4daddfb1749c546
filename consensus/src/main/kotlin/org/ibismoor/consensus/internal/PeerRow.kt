/**
 * Progress of one peer, as its leader knows it.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.core.api.Timestamp

internal data class PeerRow(
    val nextIndex: Long,
    val heardAt: Timestamp,
    /** Highest index that the peer holds durably. */
    val matchIndex: Long = 0,
    /** Whether the leader looks for the point where the logs agree; no entries are sent meanwhile. */
    val isProbing: Boolean = true,
    val isProbeDue: Boolean = false,
    val round: Long = 0,
    val outgoing: OutgoingSnapshot? = null,
)
