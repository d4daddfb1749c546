/**
 * A need of one replica for more tokens of a budget. [expected] is the use that it expects in the coming seconds and
 * [urgent] what a waiting reservation lacks, in budget tokens. With [hasNoSurplus] it answers a request to give tokens
 * back: there is nothing to give.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId

@Serializable
data class ShareNeed(val budget: BudgetId, val expected: Long, val urgent: Long, val hasNoSurplus: Boolean = false)
