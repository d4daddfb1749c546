/**
 * Creates the routing state machine of a router and its initial tables.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.internal.RoutingMachine

fun createRouting(settings: RoutingSettings): TickMachine<RoutingTables, RoutingMessage, RoutingEffect> =
    RoutingMachine(settings)

/** Tables of a router that started at [now]. It refuses requests until it has received a configuration. */
fun initialRoutingTables(
    settings: RoutingSettings,
    session: SessionId,
    seed: Long,
    now: Timestamp,
): RoutingTables =
    RoutingTables(
        session = session,
        random = SeededRandom(seed),
        authorities = settings.domains.associateWith { AuthorityRow(lastContactAt = now) }.toPersistentHashMap(),
    )
