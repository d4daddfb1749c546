/**
 * Entry point of this module: creates the state machine of a router's decisions and its first tables.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.internal.ForwardingMachine
import org.ibismoor.forwarding.internal.engineAwareSelection

fun createForwarding(
    settings: ForwardingSettings,
    selection: UpstreamSelection = engineAwareSelection(),
): TickMachine<ForwardingTables, ForwardingMessage, ForwardingEffect> = ForwardingMachine(settings, selection)

/** Tables of a router at the start of [session]. [seed] must differ between routers and between starts. */
fun initialForwarding(
    settings: ForwardingSettings,
    session: SessionId,
    seed: Long,
    now: Timestamp,
): ForwardingTables =
    ForwardingTables(
        session = session,
        random = SeededRandom(seed),
        fleet = FleetRow(controlHosts = rotatedHosts(settings.controlHosts, seed), nextReportAt = now),
        placement = PlacementTables(drawSeed = seed),
    )

/** Routers start with different control processes, so that a start of the fleet spreads the load of first reports. */
private fun rotatedHosts(hosts: List<String>, seed: Long): List<String> {
    val first = if (hosts.isEmpty()) 0 else Math.floorMod(seed, hosts.size)
    return hosts.drop(first) + hosts.take(first)
}
