/**
 * Reports to the leader: what this router has in force, and for each organisation what it gives back and what it asks
 * for. A router that a cut may separate from control holds tokens for the demand that it expects meanwhile.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.SendReport
import kotlin.math.sqrt

private const val MILLIS_PER_SECOND = 1_000.0

/** Weight of the newest measurement of demand when a second has passed since the one before. */
private const val NEWEST_WEIGHT_PER_SECOND = 0.5

/** Tokens are asked for when less than this part of the target is held, and returned beyond the other part. */
private const val REFILL_PART = 0.8
private const val RETURN_PART = 1.3

/** A router that the leader lists holds at least this part of a budget, so that a new organisation does not wait. */
private const val LEAST_PART = 250L

/** No router holds more than this part. Some callers stay at one router, which then needs much of their budget. */
private const val LARGEST_PART = 4L

/** Standard deviations of the demand of a horizon that a router holds tokens for beyond the mean. */
private const val DEVIATIONS = 1

/** With more organisations than this, a router asks only for those that call it. */
private const val EAGER_ORGANISATIONS = 200

internal class ReportSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val fleet = tables.fleet
        val isDue = !fleet.isReporting && fleet.reportAt <= tick.now && fleet.hosts.isNotEmpty()
        return if (isDue) report(tables.forgettingRetries(tick.now, settings), tick.now) else ForwardingStep(tables)
    }

    private fun report(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val seconds = (now - tables.fleet.reportedAt).coerceAtLeast(1) / MILLIS_PER_SECOND
        val measured = tables.measuringRequests(seconds)
        val counted = limited(tables).fold(measured) { table, organisation -> plan(table, organisation, seconds) }
        val usage = limited(tables).map { organisation ->
            val row = counted.allowanceOf(organisation)
            AllowanceUsage(
                organisation = organisation,
                returned = row.returned,
                settled = row.settled,
                demandPerSecond = row.demandPerSecond,
                wanted = wanted(counted, organisation, row),
                needed = row.missing,
            )
        }
        val report = RouterReport(
            router = settings.router,
            session = tables.session,
            entry = settings.entry,
            state = tables.state,
            configurationVersion = tables.configuration?.version ?: 0,
            upstreamRevision = tables.fleet.upstreamRevision,
            requestsPerSecond = counted.fleet.requestsPerSecond,
            usage = usage,
        )
        val fleet = counted.fleet.copy(isReporting = true, reportedAt = now)
        return ForwardingStep(counted.copy(fleet = fleet), listOf(SendReport(fleet.hosts.first(), report)))
    }

    /** Organisations with a budget whose tokens this router holds, asks for or has used. */
    private fun limited(tables: ForwardingTables): List<OrganisationId> {
        val rows = tables.configuration?.organisations?.values.orEmpty().filter { it.budget != null }.map { it.id }
        return if (rows.size <= EAGER_ORGANISATIONS) rows else rows.filter { it in tables.allowances }
    }

    private fun plan(tables: ForwardingTables, organisation: OrganisationId, seconds: Double): ForwardingTables {
        val row = tables.allowanceOf(organisation)
        val weight = (NEWEST_WEIGHT_PER_SECOND * seconds).coerceAtMost(1.0)
        val demand = row.demandPerSecond * (1 - weight) + row.takenTokens / seconds * weight
        val measured = row.copy(demandPerSecond = demand, takenTokens = 0)
        val keep = (target(tables, organisation, measured) * keepPart(tables)).toLong()
        val surplus = (measured.available - keep).coerceAtLeast(0)
        return tables.withAllowance(organisation, measured.copy(returned = measured.returned + surplus))
    }

    private fun keepPart(tables: ForwardingTables): Double = if (tables.isDraining) 0.0 else RETURN_PART

    /** The router may hold nothing ahead: it runs beside control, or the budget was lowered below what is out. */
    private fun mayHoldNothing(row: AllowanceRow): Boolean = row.toldAt != null && row.horizonMillis == 0L

    private fun wanted(tables: ForwardingTables, organisation: OrganisationId, row: AllowanceRow): Long {
        val target = target(tables, organisation, row)
        val isLow = row.available < target * REFILL_PART
        return when {
            tables.isDraining -> row.missing
            isLow || row.missing > 0 -> (target - row.available).coerceAtLeast(0) + row.missing
            else -> 0
        }
    }

    /** Tokens that should be available beyond those of the requests under way. */
    private fun target(tables: ForwardingTables, organisation: OrganisationId, row: AllowanceRow): Long {
        val budget = tables.configuration?.organisations?.get(organisation)?.budget ?: 0
        val demandPerSecond = maxOf(row.demandPerSecond, row.evenDemandPerSecond)
        val mean = demandPerSecond * row.horizonMillis / MILLIS_PER_SECOND
        val deviation = sqrt(mean * row.meanReservation)
        val demand = (mean + DEVIATIONS * deviation).toLong()
        val least = if (isCalled(tables)) budget / LEAST_PART else 0
        return if (mayHoldNothing(row)) 0 else demand.coerceIn(least, budget / LARGEST_PART)
    }

    /** Callers are sent to this router. */
    private fun isCalled(tables: ForwardingTables): Boolean =
        tables.fleet.routers.any { it.address == settings.entry.address }
}

private fun ForwardingTables.measuringRequests(seconds: Double): ForwardingTables {
    val weight = (NEWEST_WEIGHT_PER_SECOND * seconds).coerceAtMost(1.0)
    val rate = fleet.requestsPerSecond * (1 - weight) + fleet.arrived / seconds * weight
    return copy(fleet = fleet.copy(requestsPerSecond = rate, arrived = 0))
}
