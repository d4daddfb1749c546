/**
 * Checks that a request that was refused as not run has not run and does not run later.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.internal.isNotRun

internal class RefusalSystem : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is AnswerEnded -> checkAnswer(tables, observation)
            is AttemptBegan -> checkRun(tables, observation)
            else -> CheckStep(tables)
        }

    /** One run whose upstream gave the status itself is the upstream's word, which the router has to pass on. */
    private fun checkAnswer(tables: CheckTables, answer: AnswerEnded): CheckStep {
        val request = tables.requestEndedBy(answer)
        if (request == null || !isNotRun(answer.status)) return CheckStep(tables)
        val counted = tables.withExercised(Guarantee.TRUE_REFUSAL, request.attempts.isNotEmpty())
        val permittedRuns = if (answer.answer == null) 0 else 1
        val details = "refused with ${answer.status} after ${request.runs} runs".takeIf { request.runs > permittedRuns }
        return checked(counted, Guarantee.TRUE_REFUSAL, answer.at, answer.request, details)
    }

    private fun checkRun(tables: CheckTables, began: AttemptBegan): CheckStep {
        val request = tables.requestRunBy(began)
        val refusal = request?.answer?.takeIf { isNotRun(it.status) } ?: return CheckStep(tables)
        val details = "runs ${began.at - refusal.at} ms after it was refused with ${refusal.status}"
        return checked(tables, Guarantee.TRUE_REFUSAL, began.at, request.sent.request, details)
    }
}
