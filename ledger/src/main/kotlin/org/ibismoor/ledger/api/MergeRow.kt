/**
 * Progress of merging at the quorum: the time at which the next batch is due, the batch in flight, and the budgets
 * whose counters have changed since they were last sent. [sent] are the budgets of the batch in flight.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Timestamp

data class MergeRow(
    val due: Timestamp,
    val inFlight: MergeCharges? = null,
    val dirty: PersistentSet<BudgetId> = persistentHashSetOf(),
    val sent: PersistentSet<BudgetId> = persistentHashSetOf(),
)
