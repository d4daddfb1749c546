/**
 * The routers to which callers are directed: those that the leader has listed, restricted to the caller's failure
 * domain if that has enough of them. A router without recent contact with the leader excludes itself and the others
 * that have none, unless it has no other to offer.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp

/** With fewer routers, the loss of one would leave callers without an address. */
private const val MINIMUM_LOCAL_ROUTERS = 2

/** Without an answer of the leader for longer, a router counts as separated from the control processes. */
private const val LEADER_CONTACT_TIMEOUT_MILLIS = 1_300L

/** True unless this router counts as separated from the control processes. */
fun ForwardingTables.hasLeaderContact(now: Timestamp): Boolean {
    val answeredAt = fleet.leaderAnsweredAt
    return answeredAt != null && now - answeredAt <= LEADER_CONTACT_TIMEOUT_MILLIS
}

/**
 * Routers for a caller in [domain] among those that [isOffered] to it, those of its failure domain first. [own] is the
 * entry of this router.
 */
fun ForwardingTables.callerAddresses(
    domain: FailureDomainId,
    own: RouterEntry,
    now: Timestamp,
    isOffered: (RouterEntry) -> Boolean = { true },
): List<RouterEntry> {
    val isExcluded = state == RouterState.DRAINING || !hasLeaderContact(now)
    val listedRouters = fleet.routers.filter { (!isExcluded || it.address != own.address) && isOffered(it) }
    val connectedRouters = listedRouters.filter { it.address !in fleet.separatedRouters }.ifEmpty { listedRouters }
    val offeredRouters = connectedRouters.ifEmpty { listOf(own).filter { state == RouterState.READY && isOffered(it) } }
    val localRouters = offeredRouters.filter { it.domain == domain }
    if (localRouters.size >= MINIMUM_LOCAL_ROUTERS) return localRouters
    return localRouters + (offeredRouters - localRouters.toSet())
}
