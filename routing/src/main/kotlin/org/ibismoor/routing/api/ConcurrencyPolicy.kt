/**
 * Decides how many requests of an upstream group may have left the queue of this router.
 */
package org.ibismoor.routing.api

import org.ibismoor.routing.internal.FixedConcurrency
import org.ibismoor.routing.internal.PacedConcurrency

interface ConcurrencyPolicy {
    /** Maximum number of active requests; [upperBound] is the limit from the settings. */
    fun activeLimit(group: GroupRow, upperBound: Int): Double

    /** Called when an upstream of the group refused a request. */
    fun applyRefusal(group: GroupRow): GroupRow

    /** Called when an upstream of the group completed an answer. */
    fun applyAnswer(group: GroupRow): GroupRow
}

/** Baseline: the limit from the settings, whether or not upstreams refuse requests. */
fun fixedConcurrency(): ConcurrencyPolicy = FixedConcurrency

/** Lowers the limit by a tenth after a refusal by an upstream and raises it by one for each round of answers. */
fun adaptiveConcurrency(): ConcurrencyPolicy = PacedConcurrency
