/**
 * The state behind the replicated log: configuration, budgets with their shares, charges that were merged lately,
 * and claims of plain keys.
 *
 * [mergedSequences] numbers the last charge that was merged of each replica. [mergedThrough] is the wall-clock time
 * up to which all charges of a replica are merged. [retired] names the successor of each replica whose disk was lost.
 * [evictedCharges] counts charge keys that were dropped at the bound before their retention ended.
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
    /** Whether [replica] was replaced after its disk was lost. */
    fun isRetired(replica: ReplicaId): Boolean = replica in retired
}
