/**
 * Removes requests that no later observation is expected to refer to, with their attempts and answers.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.DueEntry
import org.ibismoor.core.api.Tick
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.SoakRequestId

internal class ExpirySystem : CheckSystem {
    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val due = tables.due.requestExpiries.take(tick.now)
        val taken = tables.copy(due = tables.due.copy(requestExpiries = due.rest))
        return CheckStep(due.entries.fold(taken, ::removeRequest))
    }

    private fun removeRequest(tables: CheckTables, entry: DueEntry<SoakRequestId>): CheckTables {
        val row = tables.requests[entry.id]?.takeIf { it.expiresAt == entry.time } ?: return tables
        val made = tables.attemptsOf(row).mapNotNull { it.finished?.made?.answer }
        return tables.copy(
            requests = tables.requests.remove(entry.id),
            attempts = row.attempts.fold(tables.attempts) { rows, attempt -> rows.remove(attempt) },
            answers = made.fold(tables.answers) { rows, answer -> rows.remove(answer) },
        )
    }
}
