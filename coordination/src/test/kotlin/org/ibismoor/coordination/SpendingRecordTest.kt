/**
 * A router that records its spending limits ends while it holds tokens. Only the limits that it has recorded are spent;
 * the rest returns to the budget, unless the record may be incomplete.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.AllowanceMove
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.api.SessionStart
import org.ibismoor.coordination.internal.applyCommand
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

private val ROUTER = RouterId("router")
private val FIRST = SessionId("first")
private val SECOND = SessionId("second")
private const val HELD = 700L
private const val SETTLED = 300L

class SpendingRecordTest : StringSpec({
    "tokens beyond the recorded limit of an ended session return to the budget" {
        // Guards against a restart that strands all the tokens that a router holds in advance.
        spentAfterRestart(limits = mapOf(ORGANISATION to 450)) shouldBe 450
    }

    "a budget without a recorded limit was not spent" {
        spentAfterRestart(limits = mapOf(OrganisationId("other") to 10)) shouldBe SETTLED
    }

    "a limit above the tokens held takes no more than these" {
        spentAfterRestart(limits = mapOf(ORGANISATION to 10_000)) shouldBe HELD
    }

    "a limit below the reported spending is not believed" {
        // Guards against tokens that are issued twice because of a record that is older than a report.
        spentAfterRestart(limits = mapOf(ORGANISATION to 10)) shouldBe SETTLED
    }

    "without a record all tokens of the ended session stay spent" {
        // Guards against an overspent budget after the loss of the router's disk.
        restart(EndedSession(SessionId("another"), emptyMap())) shouldBe HELD
        restart(null) shouldBe HELD
    }

    "the record of a session that has stopped to record does not count" {
        // Guards against an overspent budget after a session that spent beyond its limits, as its disk was full.
        val stopped = applyCommand(stateOfFirst(), MoveAllowances(emptyList(), emptyList(), listOf(ROUTER)))
        restart(EndedSession(FIRST, mapOf(ORGANISATION to 450)), stopped) shouldBe HELD
    }

    "a session after one that has stopped to record may record again" {
        val stopped = applyCommand(stateOfFirst(), MoveAllowances(emptyList(), emptyList(), listOf(ROUTER)))
        val second = applyCommand(stopped, start(SECOND, null))
        val issued = MoveAllowances(emptyList(), listOf(AllowanceMove(ORGANISATION, SECOND, HELD, 0, 0)))
        val holding = applyCommand(second.copy(configuration = configurationWith(budget = 10_000)), issued)
        val ended = EndedSession(SECOND, mapOf(ORGANISATION to 1))
        applyCommand(holding, start(SessionId("third"), ended)).budgets.getValue(ORGANISATION).ended shouldBe HELD + 1
    }
})

private fun spentAfterRestart(limits: Map<OrganisationId, Long>): Long = restart(EndedSession(FIRST, limits))

private fun restart(ended: EndedSession?, state: CoordinationState = stateOfFirst()): Long =
    applyCommand(state, start(SECOND, ended)).budgets.getValue(ORGANISATION).ended

private fun start(session: SessionId, ended: EndedSession?) =
    MoveAllowances(listOf(SessionStart(ROUTER, session, ended)), emptyList())

private fun stateOfFirst(): CoordinationState {
    val allowance = SessionAllowance(issued = HELD + 100, returned = 100, settled = SETTLED)
    return CoordinationState(
        sessions = persistentHashMapOf(ROUTER to FIRST),
        budgets = persistentHashMapOf(ORGANISATION to BudgetRow(sessions = persistentHashMapOf(FIRST to allowance))),
    )
}

private fun configurationWith(budget: Long) =
    PublishedConfiguration(1, "document", mapOf(ORGANISATION to budget))
