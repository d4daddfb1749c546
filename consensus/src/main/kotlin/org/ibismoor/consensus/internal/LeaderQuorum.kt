/**
 * Contact of a leader with its voters.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.core.api.ReplicaId

/** Whether a leader heard a majority of the voters within [withinMillis]. */
internal fun ConsensusTables.hasLeaderQuorum(withinMillis: Long): Boolean {
    val heardAt = quorumValue { if (it == self) now.millis else peerHeardAt(it) }
    return heardAt != null && now.millis - heardAt <= withinMillis
}

/** Whether the peer answered this leader within [withinMillis]. */
internal fun ConsensusTables.isReachable(replica: ReplicaId, withinMillis: Long): Boolean =
    now.millis - peerHeardAt(replica) <= withinMillis

private fun ConsensusTables.peerHeardAt(replica: ReplicaId): Long =
    leadership?.peers?.get(replica)?.heardAt?.millis ?: Long.MIN_VALUE / 2
