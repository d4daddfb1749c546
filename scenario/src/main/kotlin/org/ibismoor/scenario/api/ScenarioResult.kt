/**
 * What a scenario came to. [violations] lists every broken guarantee; it is empty in a good run.
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
    val answered: List<CallResult> get() = calls.filter { it.isAnswered }

    val unanswered: List<CallResult> get() = calls.filterNot { it.isAnswered }
}

/** A call, whether the caller got its whole answer, how often upstreams ran it, and how it was refused. */
data class CallResult(
    val call: Call,
    val isAnswered: Boolean,
    val executions: Int,
    val refusals: List<RefusalReason>,
)

/** Granted and billed tokens of a budget, and tokens written off with lost disks. */
data class BudgetResult(val granted: Long, val billed: Long, val writtenOff: Long)

/** The answer to a publication and the time from it until the number was in force, or null if it was not. */
data class PublicationResult(val number: ConfigurationNumber, val result: FleetResult, val inForceAfterMillis: Long?)
