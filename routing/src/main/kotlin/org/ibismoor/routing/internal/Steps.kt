/**
 * Combines steps: each one gets the tables of the step before it, and effects keep their order.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Step
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingTables

internal fun RoutingTables.step(vararg effects: RoutingEffect): RoutingStep = Step(this, effects.asList())

internal inline fun RoutingStep.then(next: (RoutingTables) -> RoutingStep): RoutingStep {
    val step = next(tables)
    val all = if (step.effects.isEmpty()) effects else effects.toPersistentList().addAll(step.effects)
    return Step(step.tables, all)
}

internal inline fun <T> RoutingTables.foldSteps(
    items: Iterable<T>,
    next: (RoutingTables, T) -> RoutingStep,
): RoutingStep = items.fold(step()) { step, item -> step.then { next(it, item) } }
