/**
 * Reports to the leader: the versions in force at this router, and the tokens that it returns and requests for each
 * organisation. A router that a network partition may separate from the control processes holds tokens for the demand
 * expected during the partition.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.SendReport
import kotlin.math.sqrt

private const val MILLIS_PER_SECOND = 1_000.0

/** Weight of the latest measurement of demand for each second since the previous one. */
private const val NEWEST_WEIGHT_PER_SECOND = 0.5

/**
 * The same for the demand by which the leader divides a budget among the routers. A router of a large fleet gets one
 * request of an organisation in some seconds, and a faster measure would take tokens from it between two of them.
 */
private const val NEWEST_SUSTAINED_WEIGHT_PER_SECOND = 0.05

/** Tokens are requested below the first multiple of the target and returned above the second. */
private const val REFILL_THRESHOLD = 0.8
private const val RETURN_THRESHOLD = 1.3

/**
 * A listed router holds at least a budget divided by this, so that a new organisation need not wait, as far as the
 * leader's limit for this router allows.
 */
private const val MINIMUM_HELD_DIVISOR = 250L

/** A router holds at most a budget divided by this. Persistent callers need much of their budget at one router. */
private const val MAXIMUM_HELD_DIVISOR = 4L

/** Standard deviations of the demand within the horizon that are held beyond its mean. */
private const val SAFETY_DEVIATIONS = 1

/** With more organisations, a router requests tokens only for those that have called it. */
private const val MAXIMUM_PREFETCHED_ORGANISATIONS = 200

internal class ReportSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val fleet = tables.fleet
        val isDue = !fleet.isReporting && fleet.nextReportAt <= tick.now && fleet.controlHosts.isNotEmpty()
        if (!isDue) return ForwardingStep(tables)
        val next = tables.withoutExpiredRetries(tick.now, settings)
        return sendReport(next.copy(streams = next.streams.withReportSent()), tick.now)
    }

    private fun sendReport(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val seconds = (now - tables.fleet.lastReportAt).coerceAtLeast(1) / MILLIS_PER_SECOND
        val tablesWithRate = tables.withRequestRate(seconds)
        val tablesWithDemand = limitedOrganisations(tables).fold(tablesWithRate) { table, organisation ->
            withReturnedSurplus(table, organisation, seconds)
        }.withRoom(settings)
        val usage = limitedOrganisations(tables).map { organisation ->
            val row = tablesWithDemand.allowanceOf(organisation)
            AllowanceUsage(
                organisation = organisation,
                returned = row.returned,
                settled = row.settled,
                demandPerSecond = row.demandPerSecond,
                sustainedDemandPerSecond = row.sustainedDemandPerSecond,
                wanted = wantedTokens(tablesWithDemand, organisation, row),
                needed = row.shortfall,
            )
        }
        val placement = tablesWithDemand.placement
        val report = RouterReport(
            router = settings.router,
            session = tables.session,
            entry = settings.entry.copy(room = placement.room, loadPerMille = placement.loadPerMille),
            state = tables.state,
            configurationVersion = tables.configuration?.version ?: 0,
            upstreamRevision = tables.fleet.upstreamRevision,
            requestsPerSecond = tablesWithDemand.fleet.requestsPerSecond,
            usage = usage,
            isFetchingConfigurations = true,
            prompts = promptEvidence(tables.prompts, settings.router, now),
            requests = requestEvidence(tables.crashedRequests, now),
            streams = streamEvidence(tables),
            isPlacementAutomatic = settings.policies.callerPlacement == CallerPlacement.AUTO,
        )
        val fleet = tablesWithDemand.fleet.copy(isReporting = true, lastReportAt = now)
        val effect = SendReport(fleet.controlHosts.first(), report)
        return ForwardingStep(tablesWithDemand.copy(fleet = fleet), listOf(effect))
    }

    /** Organisations with a budget whose tokens this router holds, requests or has used. */
    private fun limitedOrganisations(tables: ForwardingTables): List<OrganisationId> {
        val rows = tables.configuration?.organisations?.values.orEmpty().filter { it.budget != null }.map { it.id }
        return if (rows.size <= MAXIMUM_PREFETCHED_ORGANISATIONS) rows else rows.filter { it in tables.allowances }
    }

    private fun withReturnedSurplus(
        tables: ForwardingTables,
        organisation: OrganisationId,
        seconds: Double,
    ): ForwardingTables {
        val row = tables.allowanceOf(organisation)
        val measuredRow = row.withMeasuredDemand(seconds)
        val keptTokens = (targetTokens(tables, organisation, measuredRow) * returnThreshold(tables)).toLong()
        val surplus = (measuredRow.available - keptTokens).coerceAtLeast(0)
        return tables.withAllowance(organisation, measuredRow.copy(returned = measuredRow.returned + surplus))
    }

    private fun returnThreshold(tables: ForwardingTables): Double = if (tables.isDraining) 0.0 else RETURN_THRESHOLD

    /** No tokens are held in advance: control is on the same VM, or the budget was reduced below what is issued. */
    private fun isHoldingForbidden(row: AllowanceRow): Boolean = row.updatedAt != null && row.horizonMillis == 0L

    private fun wantedTokens(tables: ForwardingTables, organisation: OrganisationId, row: AllowanceRow): Long {
        val target = targetTokens(tables, organisation, row)
        val isLow = row.available < target * REFILL_THRESHOLD
        return when {
            tables.isDraining -> row.shortfall
            isLow || row.shortfall > 0 -> (target - row.available).coerceAtLeast(0) + row.shortfall
            else -> 0
        }
    }

    /** Tokens that should be available beyond those reserved for requests in flight. */
    private fun targetTokens(tables: ForwardingTables, organisation: OrganisationId, row: AllowanceRow): Long {
        val budget = tables.configuration?.organisations?.get(organisation)?.budget ?: 0
        val demandPerSecond = maxOf(row.demandPerSecond, row.evenDemandPerSecond)
        val mean = demandPerSecond * row.horizonMillis / MILLIS_PER_SECOND
        val deviation = sqrt(mean * row.meanReservation)
        val demand = (mean + SAFETY_DEVIATIONS * deviation).toLong()
        val minimum = if (isListedForCallers(tables)) budget / MINIMUM_HELD_DIVISOR else 0
        val maximum = minOf(budget / MAXIMUM_HELD_DIVISOR, row.advanceLimit)
        return if (isHoldingForbidden(row)) 0 else maxOf(demand, minimum).coerceAtMost(maximum)
    }

    /** The leader lists this router, so callers are directed to it. */
    private fun isListedForCallers(tables: ForwardingTables): Boolean =
        tables.fleet.routers.any { it.address == settings.entry.address }
}

private fun AllowanceRow.withMeasuredDemand(seconds: Double): AllowanceRow {
    val newest = reservedSinceReport / seconds
    val sustainedWeight = NEWEST_SUSTAINED_WEIGHT_PER_SECOND * seconds
    return copy(
        demandPerSecond = weightedMean(demandPerSecond, newest, NEWEST_WEIGHT_PER_SECOND * seconds),
        sustainedDemandPerSecond = weightedMean(sustainedDemandPerSecond, newest, sustainedWeight),
        reservedSinceReport = 0,
    )
}

private fun weightedMean(earlier: Double, newest: Double, newestWeight: Double): Double {
    val weight = newestWeight.coerceAtMost(1.0)
    return earlier * (1 - weight) + newest * weight
}

private fun ForwardingTables.withRequestRate(seconds: Double): ForwardingTables {
    val newest = fleet.requestsSinceReport / seconds
    val rate = weightedMean(fleet.requestsPerSecond, newest, NEWEST_WEIGHT_PER_SECOND * seconds)
    return copy(fleet = fleet.copy(requestsPerSecond = rate, requestsSinceReport = 0))
}
