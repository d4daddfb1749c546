/**
 * Cumulative counters of one budget as reported by a control replica.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId

@Serializable
data class ShareReport(val budget: BudgetId, val spent: Long, val returned: Long)
