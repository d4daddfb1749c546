/**
 * Settings of the decisions of one router: its failure domain, the domains whose control processes it may use in order
 * of preference, its limits and its policies.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId

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
    /** All domains whose control process may be used, the own one first. */
    val domains: List<FailureDomainId> get() = (listOf(ownDomain) + controlDomains).distinct()
}
