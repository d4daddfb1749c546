/**
 * Runs systems in a stated order. Each system sees the tables that the system before it left; effects keep the order
 * in which they were made.
 */
package org.ibismoor.core.api

class SystemSchedule<S, M, E>(private val systems: List<TickSystem<S, M, E>>) : TickSystem<S, M, E> {
    override fun run(tables: S, tick: Tick<M>): Step<S, E> =
        systems.fold(Step<S, E>(tables)) { step, system ->
            val next = system.run(step.tables, tick)
            Step(next.tables, step.effects + next.effects)
        }
}
