/**
 * The state behind the replicated log: configuration, budgets with their shares, charges that were merged lately,
 * and claims of plain keys.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Table

@Serializable
data class FleetTables(
    val configuration: ConfigurationTables = ConfigurationTables(),
    val budgets: Table<BudgetId, BudgetRow> = persistentHashMapOf(),
    val charges: Table<RequestKey, ChargeRow> = persistentHashMapOf(),
    val claims: Table<RequestKey, ClaimRow> = persistentHashMapOf(),
    val mergedSequences: Table<ReplicaId, Long> = persistentHashMapOf(),
)
