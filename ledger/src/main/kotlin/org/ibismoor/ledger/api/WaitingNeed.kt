/**
 * A need that waits for other replicas to give tokens back: those that were [asked], and those of them that answered
 * that they have nothing left once their returned counter has the value in [empty]. The wait ends when the issued
 * counter of the waiting replica reaches [goal]. [proposedAt] is that counter at the last issue that was proposed for
 * it, so that the same tokens are not proposed again while the log decides.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

data class WaitingNeed(
    val need: ShareNeed,
    val deadline: Timestamp,
    val goal: Long,
    val asked: Set<ReplicaId> = emptySet(),
    val empty: Map<ReplicaId, Long> = emptyMap(),
    val proposedAt: Long? = null,
) {
    val isUrgent: Boolean get() = need.urgent > 0
}
