/**
 * A complete decision machine: a schedule of systems and the time of its next due work. A control loop drives it in
 * production and a test drives it directly.
 */
package org.ibismoor.core.api

interface TickMachine<S, M, E> : TickSystem<S, M, E> {
    /** Time of the earliest due work, or null if only a message can cause work. */
    fun nextDue(tables: S): Timestamp?
}
