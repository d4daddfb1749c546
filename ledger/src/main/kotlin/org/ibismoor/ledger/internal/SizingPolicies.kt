/**
 * Baseline sizing policies.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareView

internal object EqualSizing : ShareSizingPolicy {
    override fun distributeGrant(view: ShareView, amount: Long): Map<ReplicaId, Long> =
        view.holders.associate { it.replica to amount / view.holders.size }

    override fun issueAmount(view: ShareView, replica: ReplicaId, need: ShareNeed): Long = 0

    override fun reclaimAmounts(
        view: ShareView,
        replica: ReplicaId,
        need: ShareNeed,
        lacking: Long,
    ): Map<ReplicaId, Long> =
        emptyMap()
}

internal object PooledSizing : ShareSizingPolicy {
    override fun distributeGrant(view: ShareView, amount: Long): Map<ReplicaId, Long> = emptyMap()

    override fun issueAmount(view: ShareView, replica: ReplicaId, need: ShareNeed): Long = minOf(need.urgent, view.pool)

    override fun reclaimAmounts(
        view: ShareView,
        replica: ReplicaId,
        need: ShareNeed,
        lacking: Long,
    ): Map<ReplicaId, Long> =
        reclaimRemaining(view, replica, lacking)
}

/** Reclaims the remaining tokens of every other holder, up to [lacking] from each. */
internal fun reclaimRemaining(view: ShareView, replica: ReplicaId, lacking: Long): Map<ReplicaId, Long> =
    view.otherHolders(replica).filter { it.remaining > 0 }.associate { it.replica to minOf(it.remaining, lacking) }
