/**
 * Draws the routers of an answer to a caller.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.SeededRandom

/** Routers in a drawn answer. With a quarter of all gone, one answer in a million names no other. */
private const val DRAWN_ROUTERS = 10

/** With one router, its loss would leave the caller without an address. */
private const val MINIMUM_DRAWN_ROUTERS = 2

/** Resolution of the random start of a draw. */
private const val DRAW_STEPS = 1_000_000L

/**
 * Systematic sampling: each router of [weights] is drawn with a probability in proportion to its weight. The number of
 * routers is small enough that none would be needed twice, unless that is fewer than two.
 */
internal fun drawRouters(weights: Map<RouterEntry, Double>, draw: SeededRandom): List<RouterEntry> {
    if (weights.size <= MINIMUM_DRAWN_ROUTERS) return weights.keys.toList()
    val routers = shuffled(weights.keys, draw.advance())
    val total = weights.values.sum()
    val count = (total / weights.values.max()).toInt().coerceIn(MINIMUM_DRAWN_ROUTERS, DRAWN_ROUTERS)
    val step = total / count
    val offset = draw.below(DRAW_STEPS) * step / DRAW_STEPS
    val ends = routers.map(weights::getValue).runningReduce(Double::plus)
    val drawn = List(count) { index -> ends.indexOfFirst { it > offset + index * step }.coerceAtLeast(0) }.distinct()
    val missing = (0 until MINIMUM_DRAWN_ROUTERS - drawn.size).map { (drawn.first() + 1 + it) % routers.size }
    return (drawn + missing).map(routers::get)
}

/** In a fixed order, routers at even distances would fall into the same answers, for example those of one rack. */
private fun shuffled(routers: Collection<RouterEntry>, draw: SeededRandom): List<RouterEntry> {
    val keys = generateSequence(draw.advance()) { it.advance() }.map { it.below(Long.MAX_VALUE) }
    return routers.zip(keys.take(routers.size).toList()).sortedBy { (_, key) -> key }.map { (router, _) -> router }
}
