/**
 * Shorthands that the systems of the checks share.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.api.Violation

internal typealias CheckSystem = TickSystem<CheckTables, Observation, Violation>
internal typealias CheckStep = Step<CheckTables, Violation>

/** A system that has no work of its own at a time. */
internal interface ObservationSystem : CheckSystem {
    fun observe(tables: CheckTables, observation: Observation): CheckStep

    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep =
        foldSteps(tables, tick.messages, ::observe)
}

/** A step with a violation if there are [details] of one. */
internal fun checked(
    tables: CheckTables,
    guarantee: Guarantee,
    at: Timestamp,
    request: SoakRequestId?,
    details: String?,
): CheckStep = CheckStep(tables, listOfNotNull(details?.let { Violation(guarantee, at, request, it) }))

/** Counts that [guarantee] was put to the test if [isExercised]. */
internal fun CheckTables.withExercised(guarantee: Guarantee, isExercised: Boolean = true): CheckTables {
    if (!isExercised) return this
    return copy(exercised = exercised.put(guarantee, (exercised[guarantee] ?: 0) + 1))
}
