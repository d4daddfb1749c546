/**
 * Selects the less loaded of two random upstreams, so that routers with the same load reports do not all select the
 * same one.
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

// Smaller differences (in requests) come from the age of the load reports.
private const val EQUAL_LOAD_TOLERANCE = 0.5

/** The least loaded of [ids], compared from a random start, so that routers do not all select the first one. */
internal fun SelectionInput.leastLoaded(ids: List<UpstreamId>): UpstreamId {
    val first = random.below(ids.size.toLong()).toInt()
    return (ids.drop(first) + ids.take(first)).reduce(::lessLoaded)
}

/** The less loaded of two upstreams; of equal loads the one in the own failure domain, which has less latency. */
internal fun SelectionInput.lessLoaded(a: UpstreamId, b: UpstreamId): UpstreamId {
    val difference = load(b) - load(a)
    val isEqual = abs(difference) < EQUAL_LOAD_TOLERANCE
    val isSecondCloser = !isOwn(a) && isOwn(b)
    return if (if (isEqual) isSecondCloser else difference < 0) b else a
}

private fun SelectionInput.isOwn(id: UpstreamId): Boolean = upstreams.getValue(id).upstream.domain == ownDomain

internal fun SelectionInput.load(id: UpstreamId): Double = upstreams.getValue(id).load(now)
