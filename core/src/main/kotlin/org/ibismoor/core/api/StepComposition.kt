/**
 * Combines steps: each one gets the tables of the step before it, and effects keep their order.
 */
package org.ibismoor.core.api

/** Applies [change] to the tables of this step and appends its effects. */
inline fun <S, E> Step<S, E>.then(change: (S) -> Step<S, E>): Step<S, E> {
    val next = change(tables)
    return when {
        effects.isEmpty() -> next
        next.effects.isEmpty() -> Step(next.tables, effects)
        else -> Step(next.tables, effects + next.effects)
    }
}

/** Applies [change] to each of [items] in order, each on the tables of the step before, and collects the effects. */
inline fun <S, T, E> foldSteps(tables: S, items: Iterable<T>, change: (S, T) -> Step<S, E>): Step<S, E> {
    var current = tables
    val effects = buildList {
        for (item in items) {
            val step = change(current, item)
            current = step.tables
            addAll(step.effects)
        }
    }
    return Step(current, effects)
}
