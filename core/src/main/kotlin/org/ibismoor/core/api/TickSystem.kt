/**
 * One system: a function from tables and a tick to new tables and effects. It performs no input or output, reads no
 * clock, and draws randomness only from a seed in the tables. It visits only rows that the tick's messages name or
 * that are due.
 */
package org.ibismoor.core.api

fun interface TickSystem<S, M, E> {
    fun run(tables: S, tick: Tick<M>): Step<S, E>
}
