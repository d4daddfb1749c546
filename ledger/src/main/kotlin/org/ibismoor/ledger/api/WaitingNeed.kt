/**
 * A need that waits for other replicas to give tokens back: those that were [asked], and those of them that answered
 * that they have nothing to give.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

data class WaitingNeed(
    val need: ShareNeed,
    val deadline: Timestamp,
    val asked: Set<ReplicaId> = emptySet(),
    val empty: Set<ReplicaId> = emptySet(),
)
