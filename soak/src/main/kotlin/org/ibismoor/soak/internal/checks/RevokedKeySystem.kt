/**
 * Checks that no request with a revoked key runs once the time limit of its revocation has passed.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.RequestSent

internal class RevokedKeySystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is RequestSent ->
                CheckStep(tables.withExercised(Guarantee.REVOKED_KEY, isToBeRefused(tables, observation)))
            is AttemptBegan -> checkRun(tables, observation)
            else -> CheckStep(tables)
        }

    private fun checkRun(tables: CheckTables, began: AttemptBegan): CheckStep {
        val request = tables.requestRunBy(began)?.sent
        if (request == null || !isToBeRefused(tables, request)) return CheckStep(tables)
        val details = "runs though the key of organisation ${request.organisation} was revoked before it was sent"
        return checked(tables, Guarantee.REVOKED_KEY, began.at, request.request, details)
    }

    private fun isToBeRefused(tables: CheckTables, request: RequestSent): Boolean {
        val revokedAt = request.organisation?.let { tables.organisations[it] }?.keyRevokedAt ?: return false
        return request.at - revokedAt > settings.configurationApplyMillis &&
            settings.isInTouch(tables, request.router, request.at)
    }
}
