/**
 * The properties of a deployment that affect shares. Delays between failure domains are one way, rounded up to whole
 * milliseconds, the unit of the decision code.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId

private const val DOMAINS = 3

internal enum class Deployment(
    val label: String,
    region: String,
    val oneWayMillis: Long,
    val heldBackPerMille: Int,
    val reservation: ReservationMode,
) {
    BILBAO("bilbao", "norte", oneWayMillis = 1, heldBackPerMille = 50, ReservationMode.EXPECTED),
    COULEE("coulee", "prairie", oneWayMillis = 2, heldBackPerMille = 100, ReservationMode.FULL),
    ;

    val replicas: List<ReplicaId> = (1..DOMAINS).map { ReplicaId(FailureDomainId("$region-$it"), epoch = 1) }
    val leader: ReplicaId get() = replicas.first()

    /** The replica that the partition cuts off from the two others. */
    val minority: ReplicaId get() = replicas.last()
}
