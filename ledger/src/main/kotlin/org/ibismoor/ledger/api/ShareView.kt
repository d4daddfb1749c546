/**
 * One budget as a sizing policy sees it: the pool, the part of a grant that is held back in thousandths, and the
 * reachable holders in the order of their names.
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
    fun others(replica: ReplicaId): List<ShareHolder> = holders.filter { it.replica != replica }
}
