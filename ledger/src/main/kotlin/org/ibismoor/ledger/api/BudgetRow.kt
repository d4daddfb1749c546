/**
 * A budget as the replicated log knows it: the granted total, the share of each control replica and what was written
 * off with lost disks, in budget tokens.
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
)
