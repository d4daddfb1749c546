package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.coordination.internal.reportAnswer
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

private const val COLOCATED_HOST = "10.0.0.1"
private const val OTHER_HOST = "10.0.0.9"
private const val BUDGET = 1_000L
private val SETTINGS = CoordinationSettings()

class AllowanceUpdateTest : StringSpec({
    "tokens that an ended session did not return count as spent" {
        // Guards against callers that are told to retry for tokens that the budget has lost.
        val state = stateOf(BudgetRow(ended = 900, endedSettled = 500))
        allowanceAt(COLOCATED_HOST, state).unspent shouldBe 100
    }

    "a colocated router holds no tokens in advance while an organisation's callers use all routers" {
        val others = listOf(reportOf(OTHER_HOST, demand = 40.0))
        allowanceAt(COLOCATED_HOST, stateOf(BudgetRow()), demand = 60.0, others = others).horizonMillis shouldBe
            SETTINGS.colocatedHorizonMillis
    }

    "a colocated router holds tokens for a network partition for an organisation with persistent callers" {
        // Guards against refusing every request of such an organisation while that VM alone is cut off.
        val others = listOf(reportOf(OTHER_HOST, demand = 0.1))
        allowanceAt(COLOCATED_HOST, stateOf(BudgetRow()), demand = 9.9, others = others).horizonMillis shouldBe
            SETTINGS.defaultHorizonMillis
    }

    "no router expects a share of the demand of callers that stay at another one" {
        // Guards against tokens that wait at routers without callers while the router with all callers refuses them.
        val others = listOf(reportOf(OTHER_HOST, demand = 50.0))
        allowanceAt(COLOCATED_HOST, stateOf(BudgetRow()), others = others).evenDemandPerSecond shouldBe 0.0
    }

    "a router without demand expects a share of that of callers at several others" {
        val others = listOf(reportOf(OTHER_HOST, demand = 30.0), reportOf("10.0.0.8", demand = 30.0))
        allowanceAt(COLOCATED_HOST, stateOf(BudgetRow()), others = others).evenDemandPerSecond shouldBe 20.0
    }

    "the first router that reports to a new leader does not count as the only one" {
        // Guards against a router that draws tokens of all organisations in advance after an election and strands them.
        val report = reportOf(COLOCATED_HOST, demand = 99.0)
        val tables = leaderTables(stateOf(BudgetRow()), listOf(report), SETTINGS.routerDiscoveryMillis - 1)
        val allowance = reportAnswer(tables, report, SETTINGS).allowances.single()
        allowance.horizonMillis shouldBe SETTINGS.colocatedHorizonMillis
    }

    "holding tokens in advance does not shorten the horizon" {
        // Guards against a router that returns its tokens because it holds them and lacks them in a network partition.
        val horizons = listOf(100L, 800L).map { issued ->
            val session = SessionAllowance(issued, settled = 100)
            val row = BudgetRow(sessions = persistentHashMapOf(SessionId(OTHER_HOST) to session))
            allowanceAt(OTHER_HOST, stateOf(row), demand = 90.0, settled = 100).horizonMillis
        }
        horizons shouldBe listOf(2_000, 2_000)
    }

    "the horizon shrinks with what is left of a budget" {
        // Guards against stranding most of what is left of a budget when all routers lose power.
        val horizons = listOf(0L, 400L, 800L, 1_000L).map { spent ->
            val row = BudgetRow(ended = spent, endedSettled = spent)
            allowanceAt(OTHER_HOST, stateOf(row), demand = 10.0).horizonMillis
        }
        horizons shouldBe listOf(SETTINGS.defaultHorizonMillis, 10_000, 4_000, 0)
    }

    "the horizon counts the demand at all routers" {
        // Guards against several routers that together hold most of what is left of a budget.
        val others = listOf(reportOf("10.0.0.8", demand = 20.0))
        allowanceAt(OTHER_HOST, stateOf(BudgetRow()), demand = 20.0, others = others).horizonMillis shouldBe 5_000
    }
})

internal fun stateOf(row: BudgetRow): CoordinationState =
    CoordinationState(
        configuration = PublishedConfiguration(1, "document", mapOf(ORGANISATION to BUDGET)),
        budgets = persistentHashMapOf(ORGANISATION to row),
    )

private fun allowanceAt(
    host: String,
    state: CoordinationState,
    demand: Double = 0.0,
    settled: Long = 0,
    others: List<RouterReport> = emptyList(),
): AllowanceUpdate {
    val report = reportOf(host, demand, settled)
    val tables = leaderTables(state, others + report, SETTINGS.routerDiscoveryMillis)
    return reportAnswer(tables, report, SETTINGS).allowances.single()
}

/** Tables of a replica that has been the leader for [leadingMillis] and has received [reports]. */
internal fun leaderTables(
    state: CoordinationState,
    reports: List<RouterReport>,
    leadingMillis: Long,
): CoordinationTables {
    val start = CoordinationStart(bootstrapReplica(HOSTS.first()), HOSTS, 1, Timestamp(leadingMillis))
    return restoreCoordination(start, bootstrapRecords(HOSTS), TextCodec()).copy(
        state = state,
        leadingSince = Timestamp(0),
        routers = reports.associate { it.router to rowOf(it) }.toPersistentHashMap(),
    )
}

internal fun reportOf(host: String, demand: Double, settled: Long = 0): RouterReport =
    RouterReport(
        router = RouterId(host),
        session = SessionId(host),
        entry = RouterEntry("$host:80", FailureDomainId("one")),
        state = RouterState.READY,
        configurationVersion = 1,
        upstreamRevision = 1,
        requestsPerSecond = 1.0,
        usage = listOf(AllowanceUsage(ORGANISATION, 0, settled, demand, wanted = 0, needed = 0)),
    )

private fun rowOf(report: RouterReport): RouterRow =
    RouterRow(
        entry = report.entry,
        state = report.state,
        lastReportAt = Timestamp(0),
        isListed = true,
        requestsPerSecond = report.requestsPerSecond,
        session = report.session,
        usage = report.usage.associateBy { it.organisation },
    )
