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
import org.ibismoor.coordination.internal.answerTo
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

private const val NEAR = "10.0.0.1"
private const val FAR = "10.0.0.9"
private const val BUDGET = 1_000L
private val SETTINGS = CoordinationSettings()

class AllowanceUpdateTest : StringSpec({
    "what an ended session had not returned counts as spent" {
        // Guards against callers that are told to come back for tokens which are lost to the budget.
        val state = stateOf(BudgetRow(ended = 900, endedSettled = 500))
        grantAt(NEAR, state).unspent shouldBe 100
    }

    "a router on the VM of a replica holds nothing ahead while an organisation's callers use all routers" {
        val others = listOf(reportOf(FAR, demand = 40.0))
        grantAt(NEAR, stateOf(BudgetRow()), demand = 60.0, others = others).horizonMillis shouldBe
            SETTINGS.nearHorizonMillis
    }

    "a router on the VM of a replica holds tokens for a cut of an organisation whose callers stay at it" {
        // Guards against refusing every request of such an organisation while that VM is cut off from the others.
        val others = listOf(reportOf(FAR, demand = 1.0))
        grantAt(NEAR, stateOf(BudgetRow()), demand = 99.0, others = others).horizonMillis shouldBe
            SETTINGS.ampleHorizonMillis
    }

    "the first router that reports to a new leader is not taken for the only one" {
        // Guards against a router that draws tokens of all organisations ahead after each election, and strands them.
        val report = reportOf(NEAR, demand = 99.0)
        val tables = leader(stateOf(BudgetRow()), listOf(report), SETTINGS.routerDiscoveryMillis - 1)
        answerTo(tables, report, SETTINGS).allowances.single().horizonMillis shouldBe SETTINGS.nearHorizonMillis
    }

    "holding tokens ahead does not make a budget short" {
        // Guards against a router that returns its tokens because it holds them, and is cut off without them.
        val held = BudgetRow(sessions = persistentHashMapOf(SessionId(FAR) to SessionAllowance(issued = 800)))
        grantAt(FAR, stateOf(held), demand = 90.0, settled = 100).horizonMillis shouldBe SETTINGS.ampleHorizonMillis
    }

    "little is held ahead when little is left of a budget" {
        // Guards against stranding what is left of a budget when all routers lose power.
        val held = BudgetRow(sessions = persistentHashMapOf(SessionId(FAR) to SessionAllowance(issued = 800)))
        grantAt(FAR, stateOf(held), demand = 90.0, settled = 700).horizonMillis shouldBe SETTINGS.shortHorizonMillis
    }
})

private fun stateOf(row: BudgetRow): CoordinationState =
    CoordinationState(
        configuration = PublishedConfiguration(1, "document", mapOf(ORGANISATION to BUDGET)),
        budgets = persistentHashMapOf(ORGANISATION to row),
    )

private fun grantAt(
    host: String,
    state: CoordinationState,
    demand: Double = 0.0,
    settled: Long = 0,
    others: List<RouterReport> = emptyList(),
): AllowanceUpdate {
    val report = reportOf(host, demand, settled)
    val tables = leader(state, others + report, SETTINGS.routerDiscoveryMillis)
    return answerTo(tables, report, SETTINGS).allowances.single()
}

/** Tables of a replica that has led for [leadingMillis] and has had [reports]. */
private fun leader(state: CoordinationState, reports: List<RouterReport>, leadingMillis: Long): CoordinationTables {
    val start = CoordinationStart(bootstrapReplica(HOSTS.first()), HOSTS, 1, Timestamp(leadingMillis))
    return restoreCoordination(start, bootstrapRecords(HOSTS), TextCodec()).copy(
        state = state,
        leadingSince = Timestamp(0),
        routers = reports.associate { it.router to rowOf(it) }.toPersistentHashMap(),
    )
}

private fun reportOf(host: String, demand: Double, settled: Long = 0): RouterReport =
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
        heardAt = Timestamp(0),
        isListed = true,
        requestsPerSecond = report.requestsPerSecond,
        session = report.session,
        usage = report.usage.associateBy { it.organisation },
    )
