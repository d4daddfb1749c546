/**
 * Decides how many tokens of a budget each replica gets. Amounts are in budget tokens. The replicated log limits every
 * issue to the tokens in the pool, so no policy can cause overspend.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId

interface ShareSizingPolicy {
    /** Tokens for each replica from a new grant of [amount]. */
    fun distributeGrant(view: ShareView, amount: Long): Map<ReplicaId, Long>

    /** Tokens for [replica] from the pool to cover [need]. */
    fun issueAmount(view: ShareView, replica: ReplicaId, need: ShareNeed): Long

    /** Tokens to reclaim from each other replica when the pool lacks [lacking] tokens for the need of [replica]. */
    fun reclaimAmounts(view: ShareView, replica: ReplicaId, need: ShareNeed, lacking: Long): Map<ReplicaId, Long>
}
