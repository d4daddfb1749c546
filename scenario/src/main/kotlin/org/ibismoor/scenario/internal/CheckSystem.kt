/**
 * Checks the guarantees after each step of a scenario and at its end, and builds the result.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.BudgetId
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.scenario.api.BudgetResult
import org.ibismoor.scenario.api.CallResult
import org.ibismoor.scenario.api.PublicationResult
import org.ibismoor.scenario.api.ScenarioResult
import org.ibismoor.scenario.api.TraceKind
import org.ibismoor.scenario.api.TraceLine

/** Time within which a domain must have merged the charge of an answer. */
private const val MERGE_TIMEOUT_MILLIS = 5_000L

/** Time within which an accepted configuration must be in force in every connected process. */
private const val IN_FORCE_TIMEOUT_MILLIS = 9_000L

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class CheckSystem {
    /** Checks the guarantees that hold at all times, where the step from [before] to [world] changed their tables. */
    fun checkStep(before: World, world: World): World {
        val isCharged = world.replicas.any { (domain, host) -> host.ledgerLog !== before.replicas[domain]?.ledgerLog }
        val isApplied = world.replicas.any { (domain, host) ->
            host.tables?.fleet !== before.replicas[domain]?.tables?.fleet
        }
        val checked = if (isApplied) checkReplicas(world) else world
        return if (isCharged) checkSpend(checked) else checked
    }

    /**
     * Checks that the configuration of a replica never goes back, across restarts too, and records the highest granted
     * and voided amounts, which only grow.
     */
    private fun checkReplicas(world: World): World {
        val hosts = world.replicas.values.filter { it.tables != null }
        return world.copy(observations = hosts.fold(world.observations, ::checkReplica))
    }

    private fun checkReplica(observations: Observations, host: ReplicaHost): Observations {
        val fleet = checkNotNull(host.tables).fleet
        val number = fleet.configuration.number
        val highest = observations.applied[host.replica] ?: number
        val updated = observations.copy(
            applied = observations.applied.put(host.replica, maxOf(highest, number)),
            granted = observations.granted.withMaximum(fleet.budgets.mapValues { it.value.granted }),
            voided = observations.voided.withMaximum(
                fleet.budgets.mapValues { (_, row) -> row.shares.values.sumOf { it.voided } },
            ),
        )
        return when {
            number < highest -> updated.withViolation("${host.replica} went back from $highest to $number")
            else -> updated
        }
    }

    private fun PersistentMap<BudgetId, Long>.withMaximum(amounts: Map<BudgetId, Long>): PersistentMap<BudgetId, Long> =
        amounts.entries.fold(this) { all, (id, amount) -> all.put(id, maxOf(all[id] ?: 0, amount)) }

    /**
     * Checks that no budget is spent beyond the grants that any replica has applied. Counts every charge on every disk,
     * with duplicates and charges on lost disks, less the amounts that the quorum voided.
     */
    private fun checkSpend(world: World): World {
        val spent = allCharges(world).groupBy { it.budget }.mapValues { (_, rows) -> rows.sumOf { it.amount } }
        val over = spent.mapValues { (id, amount) -> amount - (world.observations.voided[id] ?: 0) }
            .filter { (id, amount) -> amount > (world.observations.granted[id] ?: 0) }
        val granted = world.observations.granted
        val violations = over.map { (id, amount) -> "budget $id is overspent: $amount of ${granted[id] ?: 0}" }
        return world.copy(observations = violations.fold(world.observations, Observations::withViolation))
    }

    private fun allCharges(world: World): List<ChargeRow> =
        world.replicas.values.flatMap { it.charges } + world.lostCharges

    /**
     * Checks that each answered request has exactly one charge at the quorum, that the spent amount of each budget is
     * the sum of its charges, and that every process has the last accepted configuration in force.
     */
    fun checkEnd(world: World): World {
        val fleet = mostAdvancedTables(world)?.fleet ?: return world
        val billed = fleet.charges.keys.map { it.key }.toSet()
        val missing = world.calls.values.filter { isBillingDue(world, it) && it.call.key !in billed }
            .map { "${it.call.key} was answered and not billed" }
        val spent = fleet.budgets.mapValues { (_, row) ->
            row.shares.values.sumOf { it.spent - it.voided }
        }
        val charged = fleet.charges.values.groupBy { it.budget }.mapValues { (_, rows) -> rows.sumOf { it.amount } }
        val mismatches = spent.filter { (id, amount) -> amount != (charged[id] ?: 0L) }
            .map { (id, amount) -> "budget $id counts $amount, its charges sum to ${charged[id] ?: 0}" }
        val all = missing + mismatches + outdatedProcesses(world)
        return world.copy(observations = all.fold(world.observations, Observations::withViolation))
    }

    /** The charge of a more recent answer may not be merged yet. */
    private fun isBillingDue(world: World, row: CallRow): Boolean =
        row.answeredAt?.let { it + MERGE_TIMEOUT_MILLIS < world.now } ?: false

    /** Running processes behind the last accepted configuration, except frozen processes and draining routers. */
    private fun outdatedProcesses(world: World): List<String> {
        val accepted = world.observations.publications.filter { it.result == Applied }
            .filter { it.at + IN_FORCE_TIMEOUT_MILLIS < world.now }
        val last = accepted.maxOfOrNull { it.number } ?: return emptyList()
        val routers = world.routers.values.filter { it.tables != null && !it.isFrozen && !it.isDraining }
            .map { it.id.text to it.view.configuration.number }
        val replicas = world.replicas.values.filter { !it.isFrozen }
            .mapNotNull { host -> host.tables?.let { host.replica.toString() to it.fleet.configuration.number } }
        return (routers + replicas).filter { (_, number) -> number < last }
            .map { (name, number) -> "$name has configuration $number, accepted is $last" }
    }

    private fun mostAdvancedTables(world: World): ControlTables? =
        world.replicas.values.mapNotNull { it.tables }.maxByOrNull { it.appliedIndex }

    fun buildResult(world: World): ScenarioResult {
        val fleet = mostAdvancedTables(world)?.fleet
        return ScenarioResult(
            violations = world.observations.violations,
            calls = world.calls.toSortedMap().values.map { callResult(world, it) },
            budgets = fleet?.budgets.orEmpty().mapValues { (_, row) ->
                BudgetResult(row.granted, row.shares.values.sumOf { it.spent - it.voided }, row.writtenOff)
            },
            trace = world.trace + world.observations.violations.map { violationLine(world, it) },
            publications = world.observations.publications.map { publicationResult(world, it) },
        )
    }

    private fun publicationResult(world: World, publication: ObservedPublication): PublicationResult {
        val inForceAt = world.observations.inForceAt[publication.number]
        return PublicationResult(publication.number, publication.result, inForceAt?.minus(publication.at))
    }

    private fun violationLine(world: World, text: String) = TraceLine(world.now.millis, TraceKind.VIOLATION, text)

    private fun callResult(world: World, row: CallRow): CallResult =
        CallResult(
            call = row.call,
            isAnswered = row.isAnswered,
            executions = world.observations.executions[row.call.key] ?: 0,
            refusals = row.refusals.map { it.reason },
        )
}
