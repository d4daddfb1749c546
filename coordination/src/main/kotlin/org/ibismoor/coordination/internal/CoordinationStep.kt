/**
 * Type aliases and helpers for the systems of the coordination machine.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.TickSystem

internal typealias CoordinationStep = Step<CoordinationTables, CoordinationEffect>

internal typealias CoordinationSystem = TickSystem<CoordinationTables, CoordinationMessage, CoordinationEffect>

/** Applies [change] to each of [items] in order, each on the tables of the previous step, and collects the effects. */
internal fun <T> foldSteps(
    tables: CoordinationTables,
    items: Iterable<T>,
    change: (CoordinationTables, T) -> CoordinationStep,
): CoordinationStep =
    items.fold(CoordinationStep(tables)) { step, item ->
        val next = change(step.tables, item)
        CoordinationStep(next.tables, step.effects + next.effects)
    }
