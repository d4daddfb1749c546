/**
 * The load of a large fleet at its leader: a report of each of a hundred routers every 400 ms, with the demand of forty
 * organisations.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.FleetView
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.internal.FleetViewSystem
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

private const val ROUTER_COUNT = 100
private const val ORGANISATION_COUNT = 40
private const val REPORTS_PER_SECOND = 250

class FleetViewTest : StringSpec({
    "the rows of all routers are visited at most ten times a second, whatever the number of reports" {
        // Guards against a leader whose work for each report grows with the number of routers.
        var tables = largeFleet()
        val views = mutableSetOf<FleetView?>()
        repeat(REPORTS_PER_SECOND) { index ->
            tables = runAt(tables, millis = 1_000L + index * 1_000L / REPORTS_PER_SECOND)
            views += tables.view
        }
        views.size shouldBeLessThanOrEqual 10
    }

    "the view has the demand of all routers and the router that has most of it" {
        val tables = runAt(largeFleet(), millis = 1_000)
        val demand = checkNotNull(tables.view).demands.getValue(organisation(3))
        demand.total shouldBe ((1..ROUTER_COUNT).sum().toDouble() plusOrMinus 0.001)
        demand.highest shouldBe ROUTER_COUNT.toDouble()
        demand.highestSession.text shouldBe host(ROUTER_COUNT)
    }

    "a replica that does not lead keeps no view" {
        // Guards against a new leadership that starts with the routers of an earlier one.
        val tables = runAt(largeFleet(), millis = 1_000)
        runAt(tables.copy(leadingSince = null), millis = 1_010).view.shouldBeNull()
    }
})

private fun runAt(tables: CoordinationTables, millis: Long): CoordinationTables {
    val report = reportOf(host(1), demand = 1.0)
    val tick = Tick(Timestamp(millis), WallTime(millis), listOf(ReportReceived(1, report)))
    return FleetViewSystem(CoordinationSettings()).run(tables, tick).tables
}

private fun largeFleet(): CoordinationTables {
    val reports = (1..ROUTER_COUNT).map { router ->
        val usage = List(ORGANISATION_COUNT) {
            AllowanceUsage(organisation(it), 0, 0, demandPerSecond = router.toDouble(), wanted = 0, needed = 0)
        }
        reportOf(host(router), demand = 0.0).copy(usage = usage)
    }
    return leaderTables(CoordinationState(), reports, leadingMillis = 1_000)
}

private fun host(router: Int) = "10.0.1.$router"

private fun organisation(index: Int) = OrganisationId("organisation-$index")
