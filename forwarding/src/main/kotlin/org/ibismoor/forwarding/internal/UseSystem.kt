/**
 * Tells the other routers that callers use what this one has sent to upstreams, and notes what they tell. A prompt
 * delays the first token of every later one at the same engine, and engines report their load only with answers, so
 * without this each router knows only its own part of the prompts that an engine has still to read.
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
import org.ibismoor.forwarding.api.PeerUse
import org.ibismoor.forwarding.api.SendLoadNotice
import org.ibismoor.forwarding.api.UpstreamRow

/** Beyond this many routers for callers, none is told: the messages would grow with the square of their number. */
private const val MAXIMUM_PEERS = 8

/** Prompts with fewer tokens to read are not worth a message of their own. */
private const val LEAST_TOLD_TOKENS = 300L

/** What another router said counts less as it ages and nothing after this long, as engines read on meanwhile. */
private const val PEER_LIFE_MILLIS = 300.0

internal class UseSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val noted = tick.messages.filterIsInstance<LoadNoticeReceived>().fold(tables) { table, message ->
            table.copy(upstreams = noting(table.upstreams, message, tick.now))
        }
        val dueAt = noted.fleet.useDueAt
        return if (dueAt == null || dueAt > tick.now) ForwardingStep(noted) else tell(noted)
    }

    private fun noting(
        upstreams: PersistentMap<UpstreamId, UpstreamRow>,
        message: LoadNoticeReceived,
        now: Timestamp,
    ): PersistentMap<UpstreamId, UpstreamRow> =
        upstreams.mutate { table ->
            upstreams.forEach { (id, row) ->
                val tokens = message.pendingPromptTokens[id] ?: 0
                val peers = if (tokens > 0) {
                    row.peers.put(message.from, PeerUse(tokens, now))
                } else {
                    row.peers.remove(message.from)
                }
                if (peers !== row.peers) table[id] = row.copy(peers = peers)
            }
        }

    private fun tell(tables: ForwardingTables): ForwardingStep {
        val next = tables.copy(fleet = tables.fleet.copy(useDueAt = null))
        val peers = tables.fleet.routers.map { it.address }.filter { it != settings.entry.address }
        val used = tables.upstreams.values.filter { it.pendingPromptTokens > 0 }
            .associate { it.entry.id to it.pendingPromptTokens }
            .toPersistentHashMap()
        return when {
            peers.isEmpty() || peers.size > MAXIMUM_PEERS -> ForwardingStep(next)
            else -> ForwardingStep(next, listOf(SendLoadNotice(peers, settings.entry.address, used)))
        }
    }
}

/** The tables after a prompt was sent of which an upstream has to read [tokens]. */
internal fun ForwardingTables.usingMore(tokens: Long, now: Timestamp, settings: ForwardingSettings): ForwardingTables {
    val dueAt = fleet.useDueAt ?: (now + settings.times.tellMillis)
    return if (tokens < LEAST_TOLD_TOKENS) this else copy(fleet = fleet.copy(useDueAt = dueAt))
}

/** Prompt tokens of other routers' requests that the upstream has still to read, as far as they told. */
internal fun UpstreamRow.peerTokens(now: Timestamp): Double =
    peers.values.sumOf { it.pendingPromptTokens * (1 - (now - it.at) / PEER_LIFE_MILLIS).coerceAtLeast(0.0) }
