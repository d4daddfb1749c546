package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.coordination.api.AllowanceMove
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.internal.ReportAnswers
import org.ibismoor.coordination.internal.ReportSystem
import org.ibismoor.coordination.internal.reportAnswer
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import kotlin.random.Random

private const val BUDGET = 1_000_000L
private const val QUARTER = BUDGET / 4
private const val COLOCATED_HOST = "10.0.0.1"
private val SETTINGS = CoordinationSettings()

class AdvanceLimitTest : StringSpec({
    "the limits of all routers together are at most a quarter of what is unspent, whatever their number" {
        // Guards against a limit at each router whose sum grows with the number of routers.
        val random = Random(1)
        listOf(1, 10, 96, 330).forEach { count ->
            val reports = List(count) { reportWith(host(it), sustainedDemand = random.nextDouble(100.0)) }
            val limits = limitsOf(reports)
            limits.sum() shouldBeLessThanOrEqual QUARTER
            limits.sum() shouldBeGreaterThan QUARTER * 9 / 10
        }
    }

    "routers divide the budget of an organisation without demand evenly" {
        val limits = limitsOf(List(10) { reportWith(host(it), sustainedDemand = 0.0) })
        limits.distinct() shouldBe listOf(QUARTER / 10)
    }

    "a router with ten times the sustained demand of the others gets more than they do" {
        // Guards against callers that stay at one router of many and lack tokens there in a network partition.
        val others = List(20) { reportWith(host(it + 1), sustainedDemand = 1.0) }
        val limits = limitsOf(others + reportWith(host(0), sustainedDemand = 10.0))
        limits.last() shouldBeGreaterThan limits.first() * 4
    }

    "a colocated router gets no part" {
        val limits = limitsOf(List(3) { reportWith(host(it), sustainedDemand = 5.0) } + reportWith(COLOCATED_HOST, 5.0))
        limits.last() shouldBe 0
    }

    "reports that are answered together get the answers that they would get one by one" {
        // Guards against sums of one tick that are used for another organisation or another state.
        val reports = List(20) { reportWith(host(it), sustainedDemand = it.toDouble()) }
        val row = BudgetRow(sessions = persistentHashMapOf(SessionId(host(3)) to SessionAllowance(5_000, 100, 900)))
        val tables = leaderTables(budgetState(row, reports), reports, SETTINGS.routerDiscoveryMillis)
        val answers = ReportAnswers(tables, SETTINGS)
        reports.map(answers::answer) shouldBe reports.map { reportAnswer(tables, it, SETTINGS) }
    }

    "the leader issues at most a quarter of what is unspent in advance, whatever routers request" {
        // Guards against a restart of all routers, when each of them asks before the leader knows the others.
        val reports = List(96) { reportWith(host(it), sustainedDemand = 1.0, wanted = BUDGET) }
        movesFor(reports).sumOf { it.issued } shouldBe QUARTER
    }

    "tokens of running sessions that are not spent count towards the limit" {
        // Guards against a leader that issues the limit again and again to routers that spend little.
        val hoarder = SessionId("hoarder")
        val session = SessionAllowance(issued = 300_000, settled = 100_000)
        val row = BudgetRow(sessions = persistentHashMapOf(hoarder to session))
        val reports = listOf(reportWith(host(0), sustainedDemand = 1.0, wanted = BUDGET))
        val unspent = BUDGET - session.settled
        movesFor(reports, row).sumOf { it.issued } shouldBe unspent / 4 - (session.held - session.settled)
    }

    "tokens for waiting requests are issued beyond the limit" {
        // Guards against a refusal while the budget has unissued tokens.
        val reports = listOf(reportWith(host(0), sustainedDemand = 1.0, wanted = BUDGET, needed = 600_000))
        val row = BudgetRow(ended = 100_000, endedSettled = 100_000)
        movesFor(reports, row).sumOf { it.issued } shouldBe 600_000 + (BUDGET - row.ended) / 4
    }
})

private fun host(index: Int) = "10.1.${index / 200}.${index % 200 + 1}"

private fun reportWith(host: String, sustainedDemand: Double, wanted: Long = 0, needed: Long = 0): RouterReport {
    val usage = AllowanceUsage(ORGANISATION, 0, 0, sustainedDemand, wanted, needed, sustainedDemand)
    return reportOf(host, demand = 0.0).copy(usage = listOf(usage))
}

private fun budgetState(row: BudgetRow, reports: List<RouterReport>): CoordinationState =
    CoordinationState(
        configuration = PublishedConfiguration(1, "document", mapOf(ORGANISATION to BUDGET)),
        budgets = persistentHashMapOf(ORGANISATION to row),
        sessions = reports.associate { RouterId(it.router.text) to it.session }.toPersistentHashMap(),
    )

private fun limitsOf(reports: List<RouterReport>): List<Long> {
    val tables = leaderTables(budgetState(BudgetRow(), reports), reports, SETTINGS.routerDiscoveryMillis)
    return reports.map { reportAnswer(tables, it, SETTINGS).allowances.single().advanceLimit }
}

/** The moves that a leader logs for [reports] of one tick. */
private fun movesFor(reports: List<RouterReport>, row: BudgetRow = BudgetRow()): List<AllowanceMove> {
    val codec = TextCodec()
    val tables = leaderTables(budgetState(row, reports), reports, SETTINGS.routerDiscoveryMillis)
    val messages = reports.mapIndexed { index, report -> ReportReceived(index + 1L, report) }
    val tick = Tick(Timestamp(SETTINGS.routerDiscoveryMillis), WallTime(0), messages)
    val inputs = ReportSystem(codec, SETTINGS).run(tables, tick).tables.consensusInputs
    val payloads = inputs.filterIsInstance<ProposalReceived>().map { it.payload }
    return payloads.flatMap { (codec.readCommand(it) as MoveAllowances).moves }
}
