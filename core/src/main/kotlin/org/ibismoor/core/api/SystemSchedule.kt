/**
 * Runs systems in a fixed order. Each system gets the tables returned by the previous one; effects are concatenated in
 * the same order.
 */
package org.ibismoor.core.api

class SystemSchedule<S, M, E>(private val systems: List<TickSystem<S, M, E>>) : TickSystem<S, M, E> {
    override fun run(tables: S, tick: Tick<M>): Step<S, E> =
        foldSteps(tables, systems) { current, system -> system.run(current, tick) }
}
