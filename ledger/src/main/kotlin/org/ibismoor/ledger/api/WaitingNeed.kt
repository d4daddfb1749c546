/**
 * A need that waits for other replicas to return tokens. Tokens were requested from [requestedFrom]. [emptyHolders]
 * are those that replied that they have no surplus, with the returned counter to which the reply applies. The wait
 * ends when the issued counter of the waiting replica reaches [issuedGoal]. [proposedIssued] is that counter at the
 * time of the last proposed issue, so that the same tokens are not proposed again before the log has decided.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

data class WaitingNeed(
    val need: ShareNeed,
    val deadline: Timestamp,
    val issuedGoal: Long,
    val requestedFrom: Set<ReplicaId> = emptySet(),
    val emptyHolders: Map<ReplicaId, Long> = emptyMap(),
    val proposedIssued: Long? = null,
) {
    val isUrgent: Boolean get() = need.urgent > 0
}
