/**
 * A budget in the fleet tables: the granted total, the share of each control replica and the tokens written off with
 * lost disks. Written-off tokens stay issued to the retired replica and are not in the pool. Their number falls if that
 * replica comes back and merges charges or returns tokens.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Table

@Serializable
data class BudgetRow(
    val granted: Long,
    val shares: Table<ReplicaId, ShareRow> = persistentHashMapOf(),
    val writtenOff: Long = 0,
) {
    /** Tokens that are not issued to any replica. */
    val pool: Long get() = granted - shares.values.sumOf { it.issued - it.returned }

    fun share(replica: ReplicaId): ShareRow = shares[replica] ?: ShareRow()
}
