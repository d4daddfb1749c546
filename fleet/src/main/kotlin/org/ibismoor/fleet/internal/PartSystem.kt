/**
 * Runs the state machine of one part of a control replica on its own tables. [Part.messagesFor] converts a message of
 * the replica to messages of the part, and [Part.translate] converts an effect of the part.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables

internal interface Part<S, M, E> {
    val machine: TickMachine<S, M, E>

    fun tables(control: ControlTables): S

    fun withTables(control: ControlTables, tables: S): ControlTables

    fun messagesFor(control: ControlTables, message: ControlMessage): List<M>

    fun translate(control: ControlTables, effect: E): Translation
}

internal class PartSystem<S, M, E>(private val part: Part<S, M, E>) :
    TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): Step<ControlTables, ControlEffect> {
        val messages = tick.messages.flatMap { part.messagesFor(tables, it) }
        val due = part.machine.nextDue(part.tables(tables))
        val isDue = due != null && due <= tick.now
        return if (messages.isEmpty() && !isDue) Step(tables) else step(tables, tick, messages)
    }

    private fun step(
        tables: ControlTables,
        tick: Tick<ControlMessage>,
        messages: List<M>,
    ): Step<ControlTables, ControlEffect> {
        val step = part.machine.run(part.tables(tables), Tick(tick.now, tick.wallTime, messages))
        val next = part.withTables(tables, step.tables)
        val translations = step.effects.map { part.translate(next, it) }
        return Step(
            next.copy(inbox = next.inbox + translations.flatMap { it.messages }),
            translations.flatMap { it.effects },
        )
    }
}
