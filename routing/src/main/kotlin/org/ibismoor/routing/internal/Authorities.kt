/**
 * Choice of the domain ledger for a request, and what is known about the control processes.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.routing.api.AuthorityRow
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamRow

private val homedKey = Regex("""([^~]+)\.(\d{1,9})\.(\d{1,18})~.+""", RegexOption.DOT_MATCHES_ALL)

/** The domain in a homed key `<domain>.<epoch>.<minute>~<opaque>`, or null for a plain key. */
internal fun homeOf(key: String): FailureDomainId? =
    homedKey.matchEntire(key)?.groupValues?.get(1)?.let(::FailureDomainId)

/** The only domain that may claim the work, or null if any ledger may take it. */
internal fun StreamRow.home(): FailureDomainId? = if (work.isIdempotent) null else homeOf(key.key)

/** The first domain in order of preference that is not suspected, or else the first. */
internal fun RoutingTables.preferredAuthority(settings: RoutingSettings): FailureDomainId =
    settings.domains.firstOrNull { !isSuspected(it) } ?: settings.ownDomain

/** The next domain after [failed] that is not suspected or excluded, or else the next one not excluded. */
internal fun RoutingTables.nextAuthority(
    settings: RoutingSettings,
    failed: FailureDomainId,
    excluded: Set<FailureDomainId>,
): FailureDomainId? {
    val all = settings.domains
    val at = all.indexOf(failed) + 1
    val order = (all.drop(at) + all.take(at)).filter { it !in excluded }
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

/** The control process of [id] answered something that was sent at [sentAt], which is when its session was renewed. */
internal fun RoutingTables.heard(id: FailureDomainId, sentAt: Timestamp): RoutingTables =
    withAuthority(id) { it.copy(heardAt = maxOf(it.heardAt, sentAt), isSuspected = false) }

internal fun RoutingTables.suspected(id: FailureDomainId): RoutingTables =
    withAuthority(id) { it.copy(isSuspected = true) }

/** The queue of the group may have a request that can go on. */
internal fun RoutingTables.dirty(group: UpstreamGroupId): RoutingTables = copy(toAdmit = toAdmit.add(group))
