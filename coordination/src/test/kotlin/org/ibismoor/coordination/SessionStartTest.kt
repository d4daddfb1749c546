package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.NotifySessionStart
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.internal.ReportSystem
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

private const val HOST = "10.0.0.9"
private val EARLIER = SessionId("earlier")

class SessionStartTest : StringSpec({
    "the notice of a new session tells stranded tokens from spent ones" {
        // Guards against a log in which a budget that a loss of power has stranded looks like a spent one.
        val allowance = SessionAllowance(issued = 800, returned = 100, settled = 300)
        val state = stateOf(BudgetRow(sessions = persistentHashMapOf(EARLIER to allowance)))
            .copy(sessions = persistentHashMapOf(RouterId(HOST) to EARLIER))
        val report = reportOf(HOST, demand = 1.0)
        val tables = leaderTables(state, listOf(report), leadingMillis = 1_000)
        val tick = Tick(Timestamp(1_000), WallTime(1_000), listOf(ReportReceived(1, report)))
        val effects = ReportSystem(TextCodec(), CoordinationSettings()).run(tables, tick).effects
        val expected = NotifySessionStart(
            RouterId(HOST),
            heldPerMille = 700,
            strandedPerMille = 400,
            unspentPerMille = 300,
        )
        effects.filterIsInstance<NotifySessionStart>() shouldBe listOf(expected)
    }
})
