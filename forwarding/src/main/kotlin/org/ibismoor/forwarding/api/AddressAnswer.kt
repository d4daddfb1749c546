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

private const val FULL_LOAD_PER_MILLE = 1_000

/** With one router, its loss would leave callers without an address. */
private const val MINIMUM_CONNECTED_ROUTERS = 2

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
 * The routers of the last list. A partition between the VMs of control processes and the others leaves the routers of
 * the former connected to the leader, which has the tokens that the others lack, so a router without contact names
 * those, unless they have said that they have none either or are too few for all requests.
 */
private fun ForwardingTables.offeredRouters(settings: ForwardingSettings, now: Timestamp): List<RouterEntry> {
    // Rooms and cores do not compare, and a list of an earlier release has no rooms.
    val own = settings.entry.copy(room = placement.room.takeIf { fleet.routers.any { it.room != null } })
    val others = fleet.routers.filter { it.address != own.address }
    val isListed = others.size < fleet.routers.size
    val isSeparated = !hasLeaderContact(now)
    val connected = others.filter { isSeparated && it.isBesideControl(fleet) && it.address !in fleet.separatedRouters }
    val isWanted = isListed || others.isEmpty() || isSeparated
    return when {
        connected.size >= MINIMUM_CONNECTED_ROUTERS && canCarryAll(connected) -> connected
        isWanted && state == RouterState.READY -> others + own
        else -> others
    }
}

internal fun RouterEntry.isBesideControl(fleet: FleetRow): Boolean =
    address.substringBeforeLast(':') in fleet.controlHosts

/** True if the requests that all routers had according to the leader's last list leave half of [routers] free. */
private fun ForwardingTables.canCarryAll(routers: List<RouterEntry>): Boolean {
    val load = fleet.routers.sumOf { it.cores * (it.loadPerMille ?: 0) }
    return load <= routers.sumOf { it.cores } * FULL_LOAD_PER_MILLE / 2
}

private fun ForwardingTables.weightFor(entry: RouterEntry, domain: FailureDomainId, now: Timestamp): Double {
    val age = fleet.leaderAnsweredAt?.let { now - it } ?: Long.MAX_VALUE
    val room = entry.room?.toDouble()?.takeIf { age <= MAXIMUM_ROOM_AGE_MILLIS } ?: (entry.cores * STALE_ROOM_PER_CORE)
    val nearFactor = if (entry.domain == domain) placement.nearFactors[domain] ?: 1.0 else 1.0
    return room.coerceAtLeast(1.0) * nearFactor
}
