/**
 * Selects the routers that callers are sent to. Colocated routers, those on the VMs of replicas, are preferred: a
 * network partition between replicas and other VMs leaves them connected to control processes, so they need few tokens
 * in advance and refuse no requests. The other routers are added if those cannot carry the load or if fewer than two
 * are listed.
 *
 * Callers that are placed by room are sent to all routers, since a few of them would carry nearly all requests.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.coordination.api.hostOf

/** With only one router, its loss would leave callers without an address. */
private const val MINIMUM_ROUTERS = 2

internal fun callerRouters(tables: CoordinationTables, settings: CoordinationSettings): List<RouterRow> {
    val listed = tables.routers.values.filter { it.isListed }.sortedBy { it.entry.address }
    val colocated = listed.filter { tables.isColocated(it) }
    val load = tables.routers.values.sumOf { it.requestsPerSecond }
    val capacity = colocated.sumOf { it.entry.cores } * settings.colocatedRequestsPerCore
    return when {
        tables.isPlacedByRoom(listed) -> listed
        colocated.size >= MINIMUM_ROUTERS && load <= capacity -> colocated.map { it.withoutRoom() }
        else -> listed.map { it.withoutRoom() }
    }
}

/** A router whose placement is automatic asks for it only if the routers outside the VMs of replicas are unequal. */
private fun CoordinationTables.isPlacedByRoom(listed: List<RouterRow>): Boolean {
    val isRoomKnown = listed.isNotEmpty() && listed.all { it.entry.room != null }
    val isWanted = listed.none { it.isPlacementAutomatic } ||
        listed.filterNot { isColocated(it) }.distinctBy { it.entry.cores }.size > 1
    return isRoomKnown && isWanted
}

private fun RouterRow.withoutRoom(): RouterRow =
    if (entry.room == null) this else copy(entry = entry.copy(room = null, loadPerMille = null))

/** True if the router is on the VM of a replica. */
internal fun CoordinationTables.isColocated(row: RouterRow): Boolean =
    replicas().any { hostOf(it) == row.entry.address.substringBeforeLast(':') }
