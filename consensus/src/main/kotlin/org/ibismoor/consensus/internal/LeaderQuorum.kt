/**
 * Checks of the contact between a leader and its peers.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.core.api.ReplicaId

/** Whether a majority of the voters, this leader included, had contact with it within [withinMillis]. */
internal fun ConsensusTables.hasLeaderQuorum(withinMillis: Long): Boolean {
    val quorumContactMillis = quorumValue { if (it == self) now.millis else peerLastContactMillis(it) }
    return quorumContactMillis != null && now.millis - quorumContactMillis <= withinMillis
}

/** Whether [replica] answered this leader within [withinMillis]. */
internal fun ConsensusTables.isReachable(replica: ReplicaId, withinMillis: Long): Boolean =
    now.millis - peerLastContactMillis(replica) <= withinMillis

/** `Long.MIN_VALUE / 2` stands for no contact, so that its difference from the present time does not overflow. */
private fun ConsensusTables.peerLastContactMillis(replica: ReplicaId): Long =
    leadership?.peers?.get(replica)?.lastContactAt?.millis ?: Long.MIN_VALUE / 2
