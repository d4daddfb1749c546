/**
 * The tables of a running scenario: processes, network, callers, upstreams, observations and the trace.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.scenario.api.Defect
import org.ibismoor.scenario.api.NetworkSettings
import org.ibismoor.scenario.api.TraceKind
import org.ibismoor.scenario.api.TraceLine

internal data class World(
    val random: SeededRandom,
    val network: NetworkSettings,
    val declaredConfiguration: ConfigurationTables,
    val defects: Set<Defect> = emptySet(),
    val now: Timestamp = Timestamp(0),
    val nextNumber: Long = 1,
    val queue: DueQueue<Long> = DueQueue.empty(),
    val events: PersistentMap<Long, WorldEvent> = persistentHashMapOf(),
    val replicas: PersistentMap<FailureDomainId, ReplicaHost> = persistentHashMapOf(),
    val routers: PersistentMap<RouterId, RouterHost> = persistentHashMapOf(),
    val pendingExchanges: PersistentMap<Long, PendingExchange> = persistentHashMapOf(),
    val calls: PersistentMap<Long, CallRow> = persistentHashMapOf(),
    val streams: PersistentMap<Long, StreamRow> = persistentHashMapOf(),
    val publications: PersistentMap<Long, PublicationRow> = persistentHashMapOf(),
    val cutLinks: PersistentSet<Link> = persistentHashSetOf(),
    val isolatedVms: PersistentSet<String> = persistentHashSetOf(),
    val leavingSince: PersistentMap<UpstreamId, Timestamp> = persistentHashMapOf(),
    val lostCharges: PersistentList<ChargeRow> = persistentListOf(),
    val observations: Observations = Observations(),
    val trace: PersistentList<TraceLine> = persistentListOf(),
) {
    /** Schedules [event] to happen in [delayMillis]. */
    fun schedule(delayMillis: Long, event: WorldEvent): World =
        copy(
            nextNumber = nextNumber + 1,
            queue = queue.plus(now + delayMillis, nextNumber),
            events = events.put(nextNumber, event),
        )

    fun withTraceLine(kind: TraceKind, text: String): World = copy(trace = trace.add(TraceLine(now.millis, kind, text)))

    fun isPartitioned(from: Endpoint, to: Endpoint): Boolean =
        from != to && (from.vm in isolatedVms || to.vm in isolatedVms || Link(from.domain, to.domain) in cutLinks)

    /** Sends the message in [event]. The network may delay it and, between failure domains, drop or duplicate it. */
    fun send(from: Endpoint, to: Endpoint, event: WorldEvent): World {
        val lot = random.below(PER_MILLE)
        val delay = network.delayMillis + random.advance().below(network.jitterMillis + 1)
        val next = copy(random = random.advance().advance())
        val isDoubled = lot >= PER_MILLE - network.doubledPerMille
        return when {
            isPartitioned(from, to) || lot < network.lostPerMille && from.domain != to.domain -> next
            isDoubled && from.domain != to.domain -> next.schedule(delay, event).schedule(2 * delay, event)
            else -> next.schedule(delay, event)
        }
    }

    private companion object {
        const val PER_MILLE = 1_000L
    }
}

/** One direction of the network between two failure domains. */
internal data class Link(val from: FailureDomainId, val to: FailureDomainId)
