/**
 * A call in progress. It reserves [reservedTokens] at the domain ledger of [replica] and uses [usedTokens].
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey

internal data class CallRow(
    val replica: ReplicaId,
    val key: RequestKey,
    val budget: BudgetId,
    val reservedTokens: Long,
    val usedTokens: Long,
) {
    val needsExtension: Boolean get() = usedTokens > reservedTokens
}
