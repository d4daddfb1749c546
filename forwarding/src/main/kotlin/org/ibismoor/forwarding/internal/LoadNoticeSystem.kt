/**
 * Exchanges load notices with the other routers that serve callers. A prompt delays the first token of every later one
 * at the same engine, and engines report their load only with answers. Without notices a router would count only its
 * own prompts among those that an engine has not processed yet.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LoadNoticeReceived
import org.ibismoor.forwarding.api.PeerLoad
import org.ibismoor.forwarding.api.SendLoadNotice
import org.ibismoor.forwarding.api.UpstreamRow

/** With more peers no notices are sent, since their number grows with the square of the number of routers. */
private const val MAXIMUM_NOTIFIED_PEERS = 8

/** Prompts with fewer uncached tokens do not trigger a notice. */
private const val MINIMUM_NOTICE_TOKENS = 300L

/** The weight of a peer load falls linearly to 0 at this age, since engines process the prompts meanwhile. */
private const val PEER_LOAD_MAXIMUM_AGE_MILLIS = 300.0

internal class LoadNoticeSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val tablesWithPeerLoads = tick.messages.filterIsInstance<LoadNoticeReceived>().fold(tables) { table, message ->
            table.copy(upstreams = withPeerLoads(table.upstreams, message, tick.now))
        }
        val dueAt = tablesWithPeerLoads.fleet.loadNoticeDueAt
        val isDue = dueAt != null && dueAt <= tick.now
        return if (isDue) sendLoadNotice(tablesWithPeerLoads) else ForwardingStep(tablesWithPeerLoads)
    }

    private fun withPeerLoads(
        upstreams: PersistentMap<UpstreamId, UpstreamRow>,
        message: LoadNoticeReceived,
        now: Timestamp,
    ): PersistentMap<UpstreamId, UpstreamRow> =
        upstreams.mutate { table ->
            upstreams.forEach { (id, row) ->
                val tokens = message.pendingPromptTokens[id] ?: 0
                val peerLoads = if (tokens > 0) {
                    row.peerLoads.put(message.from, PeerLoad(tokens, now))
                } else {
                    row.peerLoads.remove(message.from)
                }
                if (peerLoads !== row.peerLoads) table[id] = row.copy(peerLoads = peerLoads)
            }
        }

    private fun sendLoadNotice(tables: ForwardingTables): ForwardingStep {
        val next = tables.copy(fleet = tables.fleet.copy(loadNoticeDueAt = null))
        val peers = tables.fleet.routers.map { it.address }.filter { it != settings.entry.address }
        val pending = tables.upstreams.values.filter { it.pendingPromptTokens > 0 }
            .associate { it.entry.id to it.pendingPromptTokens }
            .toPersistentHashMap()
        return when {
            peers.isEmpty() || peers.size > MAXIMUM_NOTIFIED_PEERS -> ForwardingStep(next)
            else -> ForwardingStep(next, listOf(SendLoadNotice(peers, settings.entry.address, pending)))
        }
    }
}

/** Schedules a load notice after a prompt with [tokens] uncached tokens was sent. */
internal fun ForwardingTables.withLoadNoticeDue(
    tokens: Long,
    now: Timestamp,
    settings: ForwardingSettings,
): ForwardingTables {
    val dueAt = fleet.loadNoticeDueAt ?: (now + settings.times.loadNoticeDelayMillis)
    return if (tokens < MINIMUM_NOTICE_TOKENS) this else copy(fleet = fleet.copy(loadNoticeDueAt = dueAt))
}

/** Estimated pending prompt tokens of other routers at the upstream, from their load notices. */
internal fun UpstreamRow.peerPendingTokens(now: Timestamp): Double =
    peerLoads.values.sumOf { load ->
        load.pendingPromptTokens * (1 - (now - load.receivedAt) / PEER_LOAD_MAXIMUM_AGE_MILLIS).coerceAtLeast(0.0)
    }
