/**
 * Result of applying one fleet command: the new tables, what the command came to, and the budgets whose row differs.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId

data class FleetStep(
    val tables: FleetTables,
    val result: FleetResult,
    val changed: Set<BudgetId> = emptySet(),
)
