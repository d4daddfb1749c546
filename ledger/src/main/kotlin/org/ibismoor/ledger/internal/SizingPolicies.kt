/**
 * Baselines of share sizing.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareView

internal object EqualSizing : ShareSizingPolicy {
    override fun distribute(view: ShareView, amount: Long): Map<ReplicaId, Long> =
        view.holders.associate { it.replica to amount / view.holders.size }

    override fun issue(view: ShareView, replica: ReplicaId, need: ShareNeed): Long = 0

    override fun askBack(view: ShareView, replica: ReplicaId, need: ShareNeed, lacking: Long): Map<ReplicaId, Long> =
        emptyMap()
}

internal object PooledSizing : ShareSizingPolicy {
    override fun distribute(view: ShareView, amount: Long): Map<ReplicaId, Long> = emptyMap()

    override fun issue(view: ShareView, replica: ReplicaId, need: ShareNeed): Long = minOf(need.urgent, view.pool)

    override fun askBack(view: ShareView, replica: ReplicaId, need: ShareNeed, lacking: Long): Map<ReplicaId, Long> =
        surplusOf(view, replica, lacking)
}

/** Asks every other holder for what it has left, up to [lacking]. */
internal fun surplusOf(view: ShareView, replica: ReplicaId, lacking: Long): Map<ReplicaId, Long> =
    view.others(replica).filter { it.remaining > 0 }.associate { it.replica to minOf(it.remaining, lacking) }
