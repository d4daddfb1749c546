/**
 * Settings of the routing decisions of one router.
 */
package org.ibismoor.routing.api

import org.ibismoor.admission.api.QueuePolicy
import org.ibismoor.admission.api.fairQueue
import org.ibismoor.core.api.FailureDomainId

/** [controlDomains] are the domains whose control processes the router may use, in order of preference. */
data class RoutingSettings(
    val ownDomain: FailureDomainId,
    val controlDomains: List<FailureDomainId> = listOf(ownDomain),
    val limits: RoutingLimits = RoutingLimits(),
    val selection: SelectionPolicy = prefixAffinity(),
    val queue: QueuePolicy = fairQueue(),
    val concurrency: ConcurrencyPolicy = adaptiveConcurrency(),
    val retry: RetryPolicy = budgetedRetries(),
    val reservation: ReservationPolicy = quantileReservation(),
) {
    /** [controlDomains], with the router's own domain first. */
    val domains: List<FailureDomainId> get() = (listOf(ownDomain) + controlDomains).distinct()
}
