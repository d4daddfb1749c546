/**
 * Input of a sizing policy for one budget: the tokens in the pool, the part of a grant to hold back in thousandths, and
 * the reachable replicas sorted by name.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

data class ShareView(
    val budget: BudgetId,
    val pool: Long,
    val heldBackPerMille: Int,
    val holders: List<ShareHolder>,
) {
    fun otherHolders(replica: ReplicaId): List<ShareHolder> = holders.filter { it.replica != replica }
}
