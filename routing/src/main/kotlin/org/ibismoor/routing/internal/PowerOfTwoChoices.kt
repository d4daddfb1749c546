/**
 * The less loaded of two random upstreams, so that routers which saw the same reports don't all pick the same one.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.SelectionInput
import org.ibismoor.routing.api.SelectionPolicy
import kotlin.math.abs

internal object PowerOfTwoChoices : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId {
        val size = input.candidates.size
        val first = input.random.below(size.toLong()).toInt()
        val step = 1 + input.random.advance().below((size - 1).coerceAtLeast(1).toLong()).toInt()
        val a = input.candidates[first]
        val b = input.candidates[(first + step) % size]
        return input.lessLoaded(a, b)
    }
}

// Loads that differ by less than half a request are equal: the difference comes from the age of their reports.
private const val EQUAL_LOAD = 0.5

/** The least loaded of [ids], which are looked at from a random one on, so that routers do not all pick the first. */
internal fun SelectionInput.leastLoaded(ids: List<UpstreamId>): UpstreamId {
    val first = random.below(ids.size.toLong()).toInt()
    return (ids.drop(first) + ids.take(first)).reduce(::lessLoaded)
}

/** The less loaded of two upstreams; between equal loads one of the own failure domain, which is nearer. */
internal fun SelectionInput.lessLoaded(a: UpstreamId, b: UpstreamId): UpstreamId {
    val difference = load(b) - load(a)
    val isEqual = abs(difference) < EQUAL_LOAD
    val isOtherNearer = !isOwn(a) && isOwn(b)
    return if (if (isEqual) isOtherNearer else difference < 0) b else a
}

private fun SelectionInput.isOwn(id: UpstreamId): Boolean = upstreams.getValue(id).upstream.domain == ownDomain

internal fun SelectionInput.load(id: UpstreamId): Double = upstreams.getValue(id).load(now)
