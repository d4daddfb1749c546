/**
 * The less loaded of two random upstreams, so that routers which saw the same reports don't all pick the same one.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.SelectionInput
import org.ibismoor.routing.api.SelectionPolicy

internal object PowerOfTwoChoices : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId {
        val size = input.candidates.size
        val first = input.random.below(size.toLong()).toInt()
        val step = 1 + input.random.advance().below((size - 1).coerceAtLeast(1).toLong()).toInt()
        val a = input.candidates[first]
        val b = input.candidates[(first + step) % size]
        return if (input.load(b) < input.load(a)) b else a
    }
}

internal fun SelectionInput.load(id: UpstreamId): Double = upstreams.getValue(id).load(now)
