/**
 * Guards against tokens that are held at small routers in advance while callers, who are placed by room, use the large
 * ones.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.internal.reportAnswer

class RoomDemandTest : StringSpec({
    "a router is expected to get a part of the demand in proportion to its room" {
        val settings = CoordinationSettings()
        val reports = listOf("10.0.0.8" to 10, "10.0.0.9" to 30).map { (host, room) ->
            val report = reportOf(host, demand = 20.0)
            report.copy(entry = report.entry.copy(room = room))
        }
        val tables = leaderTables(stateOf(BudgetRow()), reports, settings.routerDiscoveryMillis)
        val expected = reports.map { reportAnswer(tables, it, settings).allowances.single().evenDemandPerSecond }
        expected shouldBe listOf(10.0, 30.0)
    }
})
