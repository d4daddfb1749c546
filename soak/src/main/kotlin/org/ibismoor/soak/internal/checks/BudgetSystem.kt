/**
 * Checks that no organisation spends more than its budget. Keeps the table of organisations.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.DueEntry
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.BudgetSet
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.KeyRevoked
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.OrganisationRow
import org.ibismoor.soak.api.RequestEnded
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.api.SoakRequestId

internal class BudgetSystem(private val settings: CheckSettings) : CheckSystem {
    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val due = tables.due.settlements.take(tick.now)
        val taken = tables.copy(due = tables.due.copy(settlements = due.rest))
        return foldSteps(due.entries.fold(taken, ::settle), tick.messages, ::observe)
    }

    private fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is RequestSent -> CheckStep(recordSent(tables, observation))
            is AttemptBegan -> recordRun(tables, observation)
            is RequestEnded -> recordEnd(tables, observation)
            is BudgetSet ->
                CheckStep(tables.withOrganisation(observation.organisation) { it.withBudget(observation) })
            is KeyRevoked -> CheckStep(
                tables.withOrganisation(observation.organisation) {
                    it.copy(keyRevokedAt = it.keyRevokedAt ?: observation.at)
                },
            )
            else -> CheckStep(tables)
        }

    private fun recordSent(tables: CheckTables, sent: RequestSent): CheckTables {
        if (tables.requests[sent.request]?.sent !== sent) return tables
        return tables.withSettlement(sent.at + settings.requestRetentionMillis, sent.request)
            .withOrganisation(sent.organisation) {
                it.copy(unsettledTokens = it.unsettledTokens + sent.maximumTokens)
            }
            .let { it.withExercised(Guarantee.BUDGET, isBudgetShort(it.organisations[sent.organisation])) }
    }

    /** The open requests together may exceed the budget. */
    private fun isBudgetShort(row: OrganisationRow?): Boolean =
        row?.highestBudget?.let { row.spentTokens + row.unsettledTokens > it } ?: false

    private fun recordRun(tables: CheckTables, began: AttemptBegan): CheckStep {
        val request = tables.requestRunBy(began)?.takeIf { it.runs == 1 } ?: return CheckStep(tables)
        return spend(tables, request.sent, request.sent.promptTokens, began.at)
    }

    private fun recordEnd(tables: CheckTables, end: RequestEnded): CheckStep {
        val request = tables.requestEndedBy(end) ?: return CheckStep(tables)
        val updated = tables.withSettlement(end.at + settings.settleMillis, end.request)
        return spend(updated, request.sent, end.deliveredTokens, end.at)
    }

    private fun spend(tables: CheckTables, request: RequestSent, tokens: Long, at: Timestamp): CheckStep {
        val organisation = request.organisation ?: return CheckStep(tables)
        val updated = tables.withOrganisation(organisation) { it.copy(spentTokens = it.spentTokens + tokens) }
        val row = updated.organisations.getValue(organisation)
        val details = "organisation $organisation has spent ${row.spentTokens} tokens of ${row.highestBudget}"
            .takeIf { row.highestBudget != null && row.spentTokens > row.highestBudget }
        return checked(updated, Guarantee.BUDGET, at, request.request, details)
    }

    /** The entry from the time at which a request was sent is stale once the request has ended. */
    private fun settle(tables: CheckTables, entry: DueEntry<SoakRequestId>): CheckTables {
        val request = tables.requests[entry.id] ?: return tables
        val settlesAt = request.end?.at?.plus(settings.settleMillis) ?: request.expiresAt
        return tables.withOrganisation(request.sent.organisation.takeIf { settlesAt == entry.time }) {
            it.copy(unsettledTokens = it.unsettledTokens - request.sent.maximumTokens)
        }
    }

    private fun OrganisationRow.withBudget(set: BudgetSet): OrganisationRow =
        copy(
            highestBudget = maxOf(highestBudget ?: set.tokens, set.tokens),
            confirmedBudget = if (set.isConfirmed) set else confirmedBudget,
        )
}

private fun CheckTables.withSettlement(at: Timestamp, request: SoakRequestId): CheckTables =
    copy(due = due.copy(settlements = due.settlements.plus(at, request)))

private fun CheckTables.withOrganisation(
    id: OrganisationId?,
    change: (OrganisationRow) -> OrganisationRow,
): CheckTables {
    if (id == null) return this
    return copy(organisations = organisations.put(id, change(organisations[id] ?: OrganisationRow())))
}
