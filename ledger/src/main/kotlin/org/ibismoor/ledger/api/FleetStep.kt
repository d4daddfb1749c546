/**
 * The new fleet tables after a command, the result of the command, and the budgets whose row has changed.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId

data class FleetStep(
    val tables: FleetTables,
    val result: FleetResult,
    val changed: Set<BudgetId> = emptySet(),
)
