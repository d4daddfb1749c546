/**
 * Tables of a replay: engines, routers, requests and messages under way. Times are in milliseconds.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingTables

internal data class ReplayTables(
    val engines: PersistentMap<UpstreamId, EngineRow>,
    val routers: PersistentMap<FailureDomainId, RoutingTables>,
    val requests: PersistentMap<Long, RequestRow> = persistentHashMapOf(),
    val toRouters: PersistentMap<Long, PersistentList<ToRouter>> = persistentHashMapOf(),
    val toEngines: PersistentMap<Long, PersistentList<ToEngine>> = persistentHashMapOf(),
    val lost: PersistentSet<FailureDomainId> = persistentHashSetOf(),
    val unfinished: Int = 0,
    val hits: Int = 0,
    val admitted: Int = 0,
    val attempts: Int = 0,
) {
    fun sent(at: Long, message: ToRouter): ReplayTables =
        copy(toRouters = toRouters.put(at, (toRouters[at] ?: persistentListOf()).add(message)))

    fun sent(at: Long, message: ToEngine): ReplayTables =
        copy(toEngines = toEngines.put(at, (toEngines[at] ?: persistentListOf()).add(message)))
}

internal data class ToRouter(val domain: FailureDomainId, val message: RoutingMessage)

/** An attempt for the engine, or with [sequence] null the end of what [stream] runs there. */
internal data class ToEngine(val engine: UpstreamId, val stream: Long, val sequence: Sequence?)

/** [declaration] is fixed; [cache] holds prefixes, the least recently used first. */
internal data class EngineRow(
    val declaration: EngineDeclaration,
    val isUp: Boolean = true,
    val starts: Int = 1,
    val percent: Int = 100,
    val running: PersistentList<Sequence> = persistentListOf(),
    val waiting: PersistentList<Sequence> = persistentListOf(),
    val cache: PersistentList<Long> = persistentListOf(),
) {
    val id: UpstreamId get() = UpstreamId(declaration.id)
    val domain: FailureDomainId get() = FailureDomainId(declaration.domain)
}

/** An answer in the making. [prefill] and [credit] are in tokens of the engine's speed. */
internal data class Sequence(
    val stream: Long,
    val router: FailureDomainId,
    val priority: Priority,
    val promptTokens: Int,
    val prefix: Long,
    val answerTokens: Int,
    val prefill: Double = 0.0,
    val credit: Double = 0.0,
    val generated: Int = 0,
)

/** A request of a caller, by the stream of its present attempt at a router. [gaps] are times between tokens. */
internal data class RequestRow(
    val arrival: Arrival,
    val router: FailureDomainId,
    val retries: Int = 0,
    val firstTokenAt: Long? = null,
    val lastTokenAt: Long? = null,
    val gaps: PersistentList<Long> = persistentListOf(),
    val endedAt: Long? = null,
    val isAnswered: Boolean = false,
    val isFalseRefusal: Boolean = false,
)
