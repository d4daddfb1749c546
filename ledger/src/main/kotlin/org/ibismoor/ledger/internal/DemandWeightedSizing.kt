/**
 * Sizes shares by demand. A need is covered in full while the pool lasts, and the expected use beyond it from an
 * equal part of the pool, so that one replica does not empty the pool for use that may not come.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareView

private const val PER_MILLE = 1_000

internal object DemandWeightedSizing : ShareSizingPolicy {
    override fun distribute(view: ShareView, amount: Long): Map<ReplicaId, Long> {
        val given = amount - amount / PER_MILLE * view.heldBackPerMille
        val total = view.holders.sumOf { it.expected }
        return view.holders.associate { holder ->
            val equal = given / view.holders.size
            val weighted = if (total == 0L) equal else (given.toDouble() * holder.expected / total).toLong()
            holder.replica to weighted
        }
    }

    override fun issue(view: ShareView, replica: ReplicaId, need: ShareNeed): Long {
        val urgent = minOf(need.urgent, view.pool)
        val part = (view.pool - urgent) / view.holders.size.coerceAtLeast(1)
        return urgent + minOf(need.expected, part)
    }

    override fun askBack(view: ShareView, replica: ReplicaId, need: ShareNeed, lacking: Long): Map<ReplicaId, Long> =
        if (need.urgent > 0) {
            surplusOf(view, replica, maxOf(lacking, need.expected))
        } else {
            aheadOfNeed(view, replica, lacking)
        }

    /** Before a reservation lacks tokens, only those that their holder does not expect to use are moved. */
    private fun aheadOfNeed(view: ShareView, replica: ReplicaId, lacking: Long): Map<ReplicaId, Long> =
        view.others(replica).associate { it.replica to minOf(lacking, it.remaining / 2 - it.expected) }
            .filterValues { it > 0 }
}
