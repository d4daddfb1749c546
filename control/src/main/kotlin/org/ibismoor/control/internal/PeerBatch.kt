/**
 * Body of `POST /internal/v1/consensus`: messages from one replica to another, in order. They may be lost.
 */
package org.ibismoor.control.internal

import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.PeerMessage

@Serializable
internal data class PeerBatch(
    val from: ReplicaId,
    val to: ReplicaId,
    val consensus: List<ConsensusMessage> = emptyList(),
    val shares: List<PeerMessage> = emptyList(),
)

/** Body of the response to messages that have no answer of their own. */
@Serializable
internal data class Acknowledgement(val isReceived: Boolean = true)
