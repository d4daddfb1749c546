/**
 * Decides how many tokens of a budget go to which replica. Amounts are in budget tokens; the log cuts an issue to
 * what the pool covers, so no policy can cause overspend.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId

interface ShareSizingPolicy {
    /** What each replica gets of a new grant of [amount]. */
    fun distribute(view: ShareView, amount: Long): Map<ReplicaId, Long>

    /** What [replica] gets of the pool for its need. */
    fun issue(view: ShareView, replica: ReplicaId, need: ShareNeed): Long

    /** What to ask back of the other replicas when the pool lacks [lacking] tokens for the need of [replica]. */
    fun askBack(view: ShareView, replica: ReplicaId, need: ShareNeed, lacking: Long): Map<ReplicaId, Long>
}
