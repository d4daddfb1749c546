/**
 * A call in progress at the domain ledger of [at]. It reserves [reserved] tokens and uses [used].
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey

internal data class CallRow(
    val at: ReplicaId,
    val key: RequestKey,
    val budget: BudgetId,
    val reserved: Long,
    val used: Long,
) {
    val needsMore: Boolean get() = used > reserved
}
