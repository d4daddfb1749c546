/**
 * Need of one replica for tokens of a budget. [expected] is its expected use in the coming seconds and [urgent] the
 * total that its waiting requests lack. [smallest] is the size of the smallest waiting request, [available] the tokens
 * that the replica has for it, and [issued] the issued counter of its share that is included in these figures.
 * [hasNoSurplus] is the reply to a return request: with a returned counter of [returned], the replica has no more
 * tokens to return.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId

@Serializable
data class ShareNeed(
    val budget: BudgetId,
    val expected: Long,
    val urgent: Long,
    val hasNoSurplus: Boolean = false,
    val smallest: Long = urgent,
    val available: Long = 0,
    val issued: Long = 0,
    val returned: Long = 0,
)
