/**
 * A need of one replica for more tokens of a budget. [expected] is the use that it expects in the coming seconds and
 * [urgent] what its waiting requests lack in total, in budget tokens. [smallest] is the smallest waiting request,
 * [available] what the replica has for it, and [issued] the issued counter of its share that these figures include.
 * With [hasNoSurplus] it answers a request to give tokens back: once its returned counter is [returned], there is
 * nothing more to give.
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
