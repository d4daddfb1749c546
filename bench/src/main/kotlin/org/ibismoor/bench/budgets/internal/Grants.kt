/**
 * Publications of a replay: the first one and the top-up.
 */
package org.ibismoor.bench.budgets.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.FleetSettings
import org.ibismoor.configuration.api.TableDelta
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.Publish

internal fun budgetIds(): List<BudgetId> = (1..ReplayPlan.BUDGET_COUNT).map { BudgetId("budget-$it") }

internal fun firstPublication(plan: ReplayPlan): Publish {
    val grants = mapOf(GrantId("first") to plan.firstGrantTokens)
    val delta = ConfigurationDelta(
        base = ConfigurationNumber.NONE,
        number = ConfigurationNumber(1),
        settings = FleetSettings(plan.heldBackPerMille, plan.deployment.reservation),
        budgets = TableDelta(budgetIds().associateWith { budget(it, grants) }),
        controlMembers = TableDelta(plan.deployment.replicas.associateWith { ControlMember(it, baseUrl = "") }),
    )
    return Publish(delta, digest = "first")
}

/** Adds the second grant to every budget. */
internal fun topUpPublication(fleet: FleetTables, plan: ReplayPlan): Publish {
    val grants = mapOf(
        GrantId("first") to plan.firstGrantTokens,
        GrantId("second") to plan.grantedTokens - plan.firstGrantTokens,
    )
    val delta = ConfigurationDelta(
        base = fleet.configuration.number,
        number = ConfigurationNumber(fleet.configuration.number.value + 1),
        budgets = TableDelta(budgetIds().associateWith { budget(it, grants) }),
    )
    return Publish(delta, digest = "second")
}

private fun budget(id: BudgetId, grants: Map<GrantId, Long>) =
    Budget(id, OrganisationId("bench"), persistentHashMapOf<GrantId, Long>().putAll(grants))
