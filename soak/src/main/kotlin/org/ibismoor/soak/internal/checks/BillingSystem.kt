/**
 * Checks that each request is billed once and to its own organisation. Bills cannot be read from outside; a fleet that
 * charges a request twice shows it by refusing requests for which the budget has room. The check of such refusals
 * stops with the first fault, since a process that ends takes the tokens with it that it had reserved.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.internal.PAYMENT_REQUIRED

/** Share of a budget that requests must be able to use; the rest may lie reserved at other routers. */
private const val USABLE_SHARE = 0.97

internal class BillingSystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is AttemptReceived -> checkOrganisation(tables, observation)
            is AnswerEnded -> checkRefusal(tables, observation)
            else -> CheckStep(tables)
        }

    private fun checkOrganisation(tables: CheckTables, received: AttemptReceived): CheckStep {
        val request = tables.requests[received.request] ?: return CheckStep(tables)
        val counted = tables.withExercised(Guarantee.BILLED_ONCE, request.attempts.size > 1)
        val sender = request.sent.organisation
        val details = "sent for organisation $sender, passed on for ${received.organisation}"
            .takeIf { sender != received.organisation }
        return checked(counted, Guarantee.BILLED_ONCE, received.at, received.request, details)
    }

    private fun checkRefusal(tables: CheckTables, answer: AnswerEnded): CheckStep {
        val request = tables.requestEndedBy(answer)
        val row = request?.sent?.organisation?.let { tables.organisations[it] }
        val budget = row?.confirmedBudget
        if (answer.status != PAYMENT_REQUIRED || budget == null || tables.hasHadFaults) return CheckStep(tables)
        val counted = tables.withExercised(Guarantee.BILLED_ONCE)
        val isInForce = request.sent.at - budget.at > settings.configurationApplyMillis
        val used = row.spentTokens + row.unsettledTokens
        val details = "refused as unpaid, but at most $used of ${budget.tokens} tokens are used with this request"
            .takeIf { isInForce && used <= USABLE_SHARE * budget.tokens }
        return checked(counted, Guarantee.BILLED_ONCE, answer.at, answer.request, details)
    }
}
