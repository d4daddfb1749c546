/**
 * Tokens that running sessions have spent, by the log or by a more recent report, and what that leaves of a budget.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.core.api.OrganisationId

internal class SessionSpending(tables: CoordinationTables) {
    private val usageBySession by lazy { tables.routers.values.associate { it.session to it.usage } }

    fun settledTokens(row: BudgetRow, organisation: OrganisationId): Long =
        row.sessions.entries.sumOf { (session, allowance) ->
            maxOf(allowance.settled, usageBySession[session]?.get(organisation)?.settled ?: 0)
        }

    /**
     * Tokens that may still be issued in advance of requests. All sessions together hold at most the unspent tokens
     * divided by [divisor]; those of requests under way count, since a loss of power takes them too.
     */
    fun advanceTokens(row: BudgetRow, organisation: OrganisationId, total: Long, divisor: Long): Long {
        val settled = settledTokens(row, organisation)
        val unspent = total - row.ended - settled
        val held = row.outstanding - row.ended - settled
        return (unspent / divisor - held).coerceAtLeast(0)
    }
}
