/**
 * The answer to a caller that asks which routers to use. Placed by room, each answer is a draw of a few routers, in
 * which a router appears in proportion to its room. Callers keep connections to the routers of their answer, so an
 * answer with all of them would leave most requests at those that were chosen first.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.internal.drawRouters

/** Validity of an answer whose routers are not drawn, in seconds. */
private const val FIXED_VALIDITY_SECONDS = 1

/** Drawn validities are between 1 s and this, so that callers that asked together do not ask together again. */
private const val MAXIMUM_VALIDITY_SECONDS = 3L

/** Rooms that the leader sent longer ago than this say less about a router than its cores. */
private const val MAXIMUM_ROOM_AGE_MILLIS = 3_000L
private const val STALE_ROOM_PER_CORE = 100.0

data class AddressAnswer(val routers: List<RouterEntry>, val validSeconds: Int)

/** True if [settings] allow the placement by room and the leader's list asks for it. */
fun ForwardingTables.isPlacedByRoom(settings: ForwardingSettings): Boolean =
    when (settings.policies.callerPlacement) {
        CallerPlacement.DOMAIN -> false
        CallerPlacement.ROOM -> fleet.routers.isNotEmpty()
        CallerPlacement.AUTO -> fleet.routers.any { it.room != null }
    }

/** The answer to [caller]; [answerNumber] differs between answers. */
fun ForwardingTables.addressAnswer(
    caller: CallerPlace,
    settings: ForwardingSettings,
    now: Timestamp,
    answerNumber: Long,
): AddressAnswer {
    val isOffered = { router: RouterEntry -> isOffered(router, caller, settings) }
    if (!isPlacedByRoom(settings)) {
        val routers = callerAddresses(caller.domain, settings.entry, now, isOffered)
        return AddressAnswer(routers, FIXED_VALIDITY_SECONDS)
    }
    val draw = SeededRandom(placement.drawSeed + answerNumber)
    val offers = offeredRouters(settings, now).filter(isOffered).associateWith { weightFor(it, caller.domain, now) }
    val routers = drawRouters(offers, draw)
    return AddressAnswer(routers, 1 + draw.advance().below(MAXIMUM_VALIDITY_SECONDS).toInt())
}

/**
 * The routers of the last list. In a partition, those with contact to the leader can still get tokens, so the others
 * are left out, this router too; if none is known to have contact, all are offered.
 */
private fun ForwardingTables.offeredRouters(settings: ForwardingSettings, now: Timestamp): List<RouterEntry> {
    val own = settings.entry.copy(room = placement.room, loadPerMille = placement.loadPerMille)
    val others = fleet.routers.filter { it.address != own.address }
    val isListed = others.size < fleet.routers.size
    val connected = others.filter { it.address !in fleet.separatedRouters }
    val offered = when {
        hasLeaderContact(now) && isListed && state == RouterState.READY -> connected + own
        hasLeaderContact(now) || state == RouterState.DRAINING -> connected.ifEmpty { others }
        else -> connected.ifEmpty { others + own }
    }
    return offered.ifEmpty { listOf(own).filter { state == RouterState.READY } }
}

private fun ForwardingTables.weightFor(entry: RouterEntry, domain: FailureDomainId, now: Timestamp): Double {
    val age = fleet.leaderAnsweredAt?.let { now - it } ?: Long.MAX_VALUE
    val room = entry.room?.toDouble()?.takeIf { age <= MAXIMUM_ROOM_AGE_MILLIS } ?: (entry.cores * STALE_ROOM_PER_CORE)
    val nearFactor = if (entry.domain == domain) placement.nearFactors[domain] ?: 1.0 else 1.0
    return room.coerceAtLeast(1.0) * nearFactor
}
