/**
 * State of the replicated log: configuration, budgets with their shares, recently merged charges, and claims of plain
 * keys.
 *
 * [mergedSequences] holds the number of the last merged charge of each replica. [mergedThrough] is the wall-clock time
 * up to which all charges of a replica are merged. [retired] maps each replica whose disk was lost to its replacement.
 * [evictedCharges] counts charge keys that were dropped before the end of their retention because the table was full.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.Publication
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Rows
import org.ibismoor.core.api.Table
import org.ibismoor.core.api.WallTime

@Serializable
data class FleetTables(
    val configuration: ConfigurationTables = ConfigurationTables(),
    val budgets: Table<BudgetId, BudgetRow> = persistentHashMapOf(),
    val charges: Table<RequestKey, ChargeRow> = persistentHashMapOf(),
    val claims: Table<RequestKey, ClaimRow> = persistentHashMapOf(),
    val mergedSequences: Table<ReplicaId, Long> = persistentHashMapOf(),
    val publications: Rows<Publication> = persistentListOf(),
    val mergedThrough: Table<ReplicaId, WallTime> = persistentHashMapOf(),
    val latestTime: WallTime = WallTime(0),
    val retired: Table<ReplicaId, ReplicaId> = persistentHashMapOf(),
    val chargeOrder: RetentionOrder<RetainedKey> = RetentionOrder(),
    val claimOrder: RetentionOrder<RetainedKey> = RetentionOrder(),
    val evictedCharges: Long = 0,
) {
    fun isRetired(replica: ReplicaId): Boolean = replica in retired
}
