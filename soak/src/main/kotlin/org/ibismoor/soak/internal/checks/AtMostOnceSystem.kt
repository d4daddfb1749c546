/**
 * Checks that non-idempotent work runs at most once.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.internal.isSuccess

internal class AtMostOnceSystem : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is AttemptBegan -> checkRun(tables, observation)
            is AnswerEnded -> CheckStep(countLostAnswer(tables, observation))
            else -> CheckStep(tables)
        }

    private fun checkRun(tables: CheckTables, began: AttemptBegan): CheckStep {
        val request = tables.requestRunBy(began)
        if (request == null || request.sent.kind.isRetryable || request.runs <= 1) return CheckStep(tables)
        val details = "${request.sent.kind} work runs ${request.runs} times"
        return checked(tables, Guarantee.AT_MOST_ONCE, began.at, request.sent.request, details)
    }

    /** A run without a success is what tempts a router to repeat the work. */
    private fun countLostAnswer(tables: CheckTables, answer: AnswerEnded): CheckTables {
        val request = tables.requestEndedBy(answer) ?: return tables
        val isLost = !isSuccess(answer.status) || !answer.isComplete
        val isExercised = isLost && request.runs > 0 && !request.sent.kind.isRetryable
        return tables.withExercised(Guarantee.AT_MOST_ONCE, isExercised)
    }
}
