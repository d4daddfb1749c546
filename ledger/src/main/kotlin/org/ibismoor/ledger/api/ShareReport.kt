/**
 * Cumulative counters of one budget at one control replica, as the replica states them.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId

@Serializable
data class ShareReport(val budget: BudgetId, val spent: Long, val returned: Long)
