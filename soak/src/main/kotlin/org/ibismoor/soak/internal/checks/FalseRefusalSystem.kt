/**
 * Checks that the fleet never answers a proper request as if the request were wrong.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.internal.isRefusedAsWrong

internal class FalseRefusalSystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep {
        val answer = observation as? AnswerEnded
        val request = answer?.let(tables::requestEndedBy)?.sent
        if (request == null || !request.isProper || answer.answer != null) return CheckStep(tables)
        val isExercised = !settings.isInTouch(tables, request.router, request.at)
        val counted = tables.withExercised(Guarantee.NO_FALSE_REFUSAL, isExercised)
        val details = "a proper request on route ${request.route} got status ${answer.status}"
            .takeIf { isRefusedAsWrong(answer.status) }
        return checked(counted, Guarantee.NO_FALSE_REFUSAL, answer.at, answer.request, details)
    }
}
