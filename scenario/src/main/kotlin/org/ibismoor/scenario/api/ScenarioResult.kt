/**
 * The result of a scenario. [violations] lists every broken guarantee.
 */
package org.ibismoor.scenario.api

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.FleetResult

data class ScenarioResult(
    val violations: List<String>,
    val calls: List<CallResult>,
    val budgets: Map<BudgetId, BudgetResult>,
    val publications: List<PublicationResult>,
    val trace: List<TraceLine>,
) {
    val answeredCalls: List<CallResult> get() = calls.filter { it.isAnswered }

    val unansweredCalls: List<CallResult> get() = calls.filterNot { it.isAnswered }
}

/** A call, whether its caller received the complete answer, how often upstreams ran it, and its refusals in order. */
data class CallResult(
    val call: Call,
    val isAnswered: Boolean,
    val executions: Int,
    val refusals: List<RefusalReason>,
)

/** Granted and billed tokens of a budget, and tokens written off with lost disks. */
data class BudgetResult(val granted: Long, val billed: Long, val writtenOff: Long)

/** The answer to a publication, and the time from the answer until its number was in force, or null if it never was. */
data class PublicationResult(val number: ConfigurationNumber, val result: FleetResult, val inForceAfterMillis: Long?)
