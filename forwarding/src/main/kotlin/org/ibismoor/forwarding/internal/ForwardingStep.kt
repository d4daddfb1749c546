/**
 * Type aliases and helpers that the systems of this module share.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.TickSystem
import org.ibismoor.forwarding.api.Decision
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision

internal typealias ForwardingStep = Step<ForwardingTables, ForwardingEffect>

internal typealias ForwardingSystem = TickSystem<ForwardingTables, ForwardingMessage, ForwardingEffect>

/** Applies [change] to each of [items] in turn, passing the tables on, and collects all effects. */
internal fun <T> foldSteps(
    tables: ForwardingTables,
    items: Iterable<T>,
    change: (ForwardingTables, T) -> ForwardingStep,
): ForwardingStep =
    items.fold(ForwardingStep(tables)) { step, item ->
        val next = change(step.tables, item)
        ForwardingStep(next.tables, step.effects + next.effects)
    }

/** Applies [change] to the tables of this step and appends its effects. */
internal inline fun ForwardingStep.then(change: (ForwardingTables) -> ForwardingStep): ForwardingStep {
    val next = change(tables)
    return ForwardingStep(next.tables, effects + next.effects)
}

internal fun logDecision(kind: DecisionKind, callId: String?, vararg facts: Pair<String, Any?>): LogDecision =
    LogDecision(Decision(kind, callId, facts.map { (name, value) -> Fact(name, value) }))
