/**
 * One system: a function from tables and a tick to new tables and effects. It performs no I/O, reads no clock,
 * and takes randomness only from a seed in the tables. It visits only the rows that are due or that a message of the
 * tick refers to.
 */
package org.ibismoor.core.api

fun interface TickSystem<S, M, E> {
    fun run(tables: S, tick: Tick<M>): Step<S, E>
}
