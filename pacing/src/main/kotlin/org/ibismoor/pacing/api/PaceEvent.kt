/**
 * What a router has done with an upstream or learned from it. Times are in milliseconds.
 */
package org.ibismoor.pacing.api

sealed interface PaceEvent {
    /** A request has been sent. */
    data object Sent : PaceEvent

    /**
     * The answer or its first event has arrived after [delayMillis], with [active] other requests of this router in
     * flight. [work] is the amount of work before it, as a multiple of the smallest request: the delays of a short and
     * of a long prompt cannot be compared directly.
     */
    data class Answered(val delayMillis: Long, val active: Int, val work: Double = 1.0) : PaceEvent

    /** The upstream has refused a request as full, with [active] others of this router in flight. */
    data class Refused(val active: Int) : PaceEvent

    /** The answer to a request was lost, with [active] others of this router in flight. */
    data class Lost(val active: Int) : PaceEvent

    /** The upstream is cold for [remainingMillis]. */
    data class BecameCold(val remainingMillis: Long) : PaceEvent

    /**
     * The upstream has started or recovered. It may be cold for [coldMillis]; 0 if its group has no cold bound or the
     * upstream did not start again.
     */
    data class Returned(val coldMillis: Long) : PaceEvent
}
