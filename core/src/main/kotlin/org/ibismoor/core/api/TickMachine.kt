/**
 * A complete state machine: the systems that run at each tick and the time of the next due work. A control loop drives
 * it in production; tests drive it directly.
 */
package org.ibismoor.core.api

interface TickMachine<S, M, E> : TickSystem<S, M, E> {
    /** Time of the earliest due work, or null if only a message can trigger work. */
    fun nextDue(tables: S): Timestamp?
}
