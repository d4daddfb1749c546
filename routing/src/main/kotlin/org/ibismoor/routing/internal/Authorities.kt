/**
 * Selects the domain ledger for a request and updates the state of the control processes.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.routing.api.AuthorityRow
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamRow

private val homedKeyPattern = Regex("""([^~]+)\.(\d{1,9})\.(\d{1,18})~.+""", RegexOption.DOT_MATCHES_ALL)

/** The failure domain of a homed key `<domain>.<epoch>.<minute>~<opaque>`, or null for a plain key. */
internal fun homeDomainOf(key: String): FailureDomainId? =
    homedKeyPattern.matchEntire(key)?.groupValues?.get(1)?.let(::FailureDomainId)

/** The only domain that may claim the work, or null if any ledger may take it. */
internal fun StreamRow.homeDomain(): FailureDomainId? = if (work.isIdempotent) null else homeDomainOf(key.key)

/** The first domain in order of preference that is not suspected, or else the router's own domain. */
internal fun RoutingTables.preferredAuthority(settings: RoutingSettings): FailureDomainId =
    settings.domains.firstOrNull { !isSuspected(it) } ?: settings.ownDomain

/** The next domain after [failed] that is neither suspected nor excluded, or else the next one that is not excluded. */
internal fun RoutingTables.nextAuthority(
    settings: RoutingSettings,
    failed: FailureDomainId,
    excluded: Set<FailureDomainId>,
): FailureDomainId? {
    val domains = settings.domains
    val start = domains.indexOf(failed) + 1
    val order = (domains.drop(start) + domains.take(start)).filter { it !in excluded }
    return order.firstOrNull { it != failed && !isSuspected(it) } ?: order.firstOrNull()
}

private fun RoutingTables.isSuspected(id: FailureDomainId): Boolean = authorities[id]?.isSuspected == true

internal inline fun RoutingTables.withAuthority(
    id: FailureDomainId?,
    change: (AuthorityRow) -> AuthorityRow,
): RoutingTables {
    if (id == null) return this
    val row = authorities[id] ?: AuthorityRow(Timestamp(0))
    return copy(authorities = authorities.put(id, change(row)))
}

/** Records an answer to a message sent at [sentAt]. The session was renewed no earlier than that. */
internal fun RoutingTables.recordContact(id: FailureDomainId, sentAt: Timestamp): RoutingTables =
    withAuthority(id) { it.copy(lastContactAt = maxOf(it.lastContactAt, sentAt), isSuspected = false) }

internal fun RoutingTables.markSuspected(id: FailureDomainId): RoutingTables =
    withAuthority(id) { it.copy(isSuspected = true) }

/** Has the queue of the group checked in this tick. */
internal fun RoutingTables.markForAdmission(group: UpstreamGroupId): RoutingTables =
    copy(groupsToAdmit = groupsToAdmit.add(group))
