/**
 * Computes the room of this router and what follows from the rooms of all: how far near routers are preferred, and
 * whether callers have to move from this router to others. Load pattern: callers of one failure domain send half of all
 * requests, and its routers are less than a quarter of all.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.MoveCallers
import org.ibismoor.forwarding.api.PlacementTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ResourcesMeasured
import org.ibismoor.forwarding.api.isPlacedByRoom
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.roundToInt

private const val PER_MILLE = 1_000.0

/** Weight of the latest measurement of use, which is made twice a second. */
private const val NEWEST_USE_WEIGHT = 0.3

/** A reported room changes if it differs by more than this part of the capacity, so that callers do not oscillate. */
private const val ROOM_HYSTERESIS = 0.05

/** Part of the capacity that is reported at least, so that a router which callers have left gets some back. */
private const val MINIMUM_ROOM_PART = 0.05

/**
 * Mean load of the routers of a failure domain, against that of all routers, below which they are preferred more and
 * above which less. Drawn answers differ by chance, and the busiest router has to stay below twice its part.
 */
private const val LOW_NEAR_LOAD = 1.15
private const val HIGH_NEAR_LOAD = 1.3

/**
 * Changes of the preference with each list. Callers follow within 5 s, in which the preference doubles at most and
 * halves more than once.
 */
private const val NEAR_FACTOR_RISE = 1.05
private const val NEAR_FACTOR_FALL = 0.9

/** With this factor, callers of a domain that has a quarter of the routers get a near router 97 times in 100. */
private const val MAXIMUM_NEAR_FACTOR = 100.0

/** Load against the mean of all routers above which callers are moved, and below which no longer. */
private const val HIGH_OWN_LOAD = 1.5
private const val USUAL_OWN_LOAD = 1.25

/** Part of a resource in use above which callers are moved earlier. */
private const val HIGH_USED_PART = 0.8
private const val HIGH_OWN_LOAD_WITHOUT_ROOM = 1.1

/** Below this load a difference to other routers is not worth a new connection. */
private const val MINIMUM_MOVING_LOAD_PER_MILLE = 20

/** A new connection costs the caller a round trip, and moved callers reach other routers all at once. */
private const val MAXIMUM_MOVES_PER_SECOND = 5

/** Seconds of demand for which a router without the leader holds tokens if its room is to count in full. */
private const val GRANTABLE_SECONDS = 2.0

internal class PlacementSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    private val isEnabled = settings.policies.callerPlacement != CallerPlacement.DOMAIN
    private val capacity = settings.resources.capacity

    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        if (isEnabled) foldSteps(tables, tick.messages, ::apply) else ForwardingStep(tables)

    private fun apply(tables: ForwardingTables, message: ForwardingMessage): ForwardingStep =
        when {
            message is ResourcesMeasured -> ForwardingStep(withUse(tables, message))
            message is ReportAnswered && message.answer.routers != null -> applyList(tables)
            else -> ForwardingStep(tables)
        }

    private fun withUse(tables: ForwardingTables, message: ResourcesMeasured): ForwardingTables {
        val before = tables.placement
        val newest = settings.resources.usedPart(message.use, tables.requests.size)
        val usedPart = before.usedPart + (newest - before.usedPart) * NEWEST_USE_WEIGHT
        return tables.copy(placement = before.copy(usedPart = usedPart)).withRoom(settings)
    }

    private fun applyList(tables: ForwardingTables): ForwardingStep {
        if (!tables.isPlacedByRoom(settings)) return ForwardingStep(tables)
        val routers = tables.fleet.routers
        val meanLoad = routers.meanLoad()
        val ownLoad = tables.fleet.requestsPerSecond / capacity * PER_MILLE
        val before = tables.placement
        val moves = if (isMoving(before, ownLoad, meanLoad)) movesPerSecond(ownLoad, meanLoad) else 0
        val next = before.copy(
            nearFactors = nearFactors(before.nearFactors, routers, meanLoad),
            movesPerSecond = moves,
        )
        val decision = logDecision(
            DecisionKind.CALLERS_MOVED,
            null,
            "moves_per_second" to moves,
            "load_per_mille" to ownLoad.roundToInt(),
            "mean_per_mille" to meanLoad.roundToInt(),
            "used_percent" to (before.usedPart * PERCENT).roundToInt(),
        )
        val isChanged = moves != before.movesPerSecond
        val isLogged = (moves > 0) != (before.movesPerSecond > 0)
        val effects = listOfNotNull(MoveCallers(moves).takeIf { isChanged }, decision.takeIf { isLogged })
        return ForwardingStep(tables.copy(placement = next), effects)
    }

    private fun isMoving(before: PlacementTables, ownLoad: Double, meanLoad: Double): Boolean {
        val limit = when {
            before.movesPerSecond > 0 -> USUAL_OWN_LOAD
            before.usedPart >= HIGH_USED_PART -> HIGH_OWN_LOAD_WITHOUT_ROOM
            else -> HIGH_OWN_LOAD
        }
        return ownLoad >= MINIMUM_MOVING_LOAD_PER_MILLE && ownLoad > meanLoad * limit
    }

    private fun movesPerSecond(ownLoad: Double, meanLoad: Double): Int =
        ceil((ownLoad - meanLoad) / PER_MILLE * capacity).toInt().coerceIn(1, MAXIMUM_MOVES_PER_SECOND)

    private fun nearFactors(
        before: PersistentMap<FailureDomainId, Double>,
        routers: List<RouterEntry>,
        meanLoad: Double,
    ): PersistentMap<FailureDomainId, Double> =
        routers.groupBy { it.domain }.mapValues { (domain, near) ->
            val factor = before[domain] ?: 1.0
            // Without requests no router is above its part, so near routers are preferred.
            val load = near.meanLoad() / (meanLoad + 1)
            when {
                load > HIGH_NEAR_LOAD -> factor * NEAR_FACTOR_FALL
                load < LOW_NEAR_LOAD -> factor * NEAR_FACTOR_RISE
                else -> factor
            }.coerceIn(1.0, MAXIMUM_NEAR_FACTOR)
        }.toPersistentHashMap()

    private companion object {
        const val PERCENT = 100
    }
}

/** Sets the room and the load that the next report states, from the last measurements. */
internal fun ForwardingTables.withRoom(settings: ForwardingSettings): ForwardingTables {
    if (settings.policies.callerPlacement == CallerPlacement.DOMAIN) return this
    val capacity = settings.resources.capacity
    val load = fleet.requestsPerSecond / capacity
    val freePart = (1 - maxOf(placement.usedPart, load)).coerceAtLeast(MINIMUM_ROOM_PART)
    val room = capacity * freePart * grantablePart()
    val reported = placement.room
    val isChanged = reported == null || abs(room - reported) > capacity * ROOM_HYSTERESIS
    return copy(
        placement = placement.copy(
            room = if (isChanged) room.roundToInt().coerceAtLeast(1) else reported,
            loadPerMille = (load * PER_MILLE).roundToInt(),
        ),
    )
}

/** The part of the demand for tokens that the router can grant without the leader. */
private fun ForwardingTables.grantablePart(): Double {
    val rows = allowances.values.filter { it.demandPerSecond > 0 && it.horizonMillis > 0 }
    val wanted = rows.sumOf { it.demandPerSecond } * GRANTABLE_SECONDS
    val grantable = rows.sumOf { it.grantableTokens() }
    return if (wanted > 0) (grantable / wanted).coerceIn(MINIMUM_ROOM_PART, 1.0) else 1.0
}

/** Tokens beyond those of [GRANTABLE_SECONDS] do not make up for those that another organisation lacks. */
private fun AllowanceRow.grantableTokens(): Double =
    (available + unissued).toDouble().coerceIn(0.0, demandPerSecond * GRANTABLE_SECONDS)

private fun List<RouterEntry>.meanLoad(): Double =
    if (isEmpty()) 0.0 else sumOf { it.loadPerMille ?: 0 } / size.toDouble()
