/**
 * Decides how many requests of a group may have left the queue of this router.
 */
package org.ibismoor.routing.api

import org.ibismoor.routing.internal.AdaptiveConcurrency
import org.ibismoor.routing.internal.FixedConcurrency

interface ConcurrencyPolicy {
    /** Requests that may be active; [largest] is the bound by the settings. */
    fun room(group: GroupRow, largest: Int): Double

    /** The group after an upstream refused work. */
    fun afterRefusal(group: GroupRow): GroupRow

    /** The group after a whole answer. */
    fun afterAnswer(group: GroupRow): GroupRow
}

/** Baseline: the bound by the settings, whatever the upstreams say. */
fun fixedConcurrency(): ConcurrencyPolicy = FixedConcurrency

/** Less by a tenth after each refusal by an upstream, more by one for each round of answers. */
fun adaptiveConcurrency(): ConcurrencyPolicy = AdaptiveConcurrency
