/**
 * Share sizing weighted by demand. An urgent need is covered in full while the pool lasts. The expected use is covered
 * from an equal part of the rest, so that one replica does not empty the pool for requests that may not arrive.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareView

private const val PER_MILLE = 1_000

internal object DemandWeightedSizing : ShareSizingPolicy {
    override fun distributeGrant(view: ShareView, amount: Long): Map<ReplicaId, Long> {
        val distributed = amount - amount / PER_MILLE * view.heldBackPerMille
        val total = view.holders.sumOf { it.expected }
        return view.holders.associate { holder ->
            val equal = distributed / view.holders.size
            val weighted = if (total == 0L) equal else (distributed.toDouble() * holder.expected / total).toLong()
            holder.replica to weighted
        }
    }

    override fun issueAmount(view: ShareView, replica: ReplicaId, need: ShareNeed): Long {
        val urgent = minOf(need.urgent, view.pool)
        val part = (view.pool - urgent) / view.holders.size.coerceAtLeast(1)
        return urgent + minOf(need.expected, part)
    }

    override fun reclaimAmounts(
        view: ShareView,
        replica: ReplicaId,
        need: ShareNeed,
        lacking: Long,
    ): Map<ReplicaId, Long> =
        if (need.urgent > 0) {
            reclaimRemaining(view, replica, maxOf(lacking, need.expected))
        } else {
            reclaimSpare(view, replica, lacking)
        }

    /** While no reservation lacks tokens, only tokens beyond the expected use of their holder are moved. */
    private fun reclaimSpare(view: ShareView, replica: ReplicaId, lacking: Long): Map<ReplicaId, Long> =
        view.otherHolders(replica).associate { it.replica to minOf(lacking, it.remaining / 2 - it.expected) }
            .filterValues { it > 0 }
}
