/**
 * Checks that the fleet serves again once the time limit after the last fault has passed. While no fault is active, it
 * samples one window of proper requests after another and compares how many of them were served.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.RecoverySampleRow
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.internal.PAYMENT_REQUIRED
import org.ibismoor.soak.internal.isSuccess

private const val SAMPLE_MILLIS = 2_000L
private const val MINIMUM_SAMPLE_REQUESTS = 20
private const val MINIMUM_SERVED_SHARE = 0.25

internal class RecoverySystem(private val settings: CheckSettings) : CheckSystem {
    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val counted = tick.messages.fold(withoutDisturbedSample(tables), ::count)
        val sample = counted.recoverySample
        if (sample == null || dueAt(sample) > tick.now) return CheckStep(counted)
        return check(counted.copy(recoverySample = null), sample)
    }

    fun nextDue(tables: CheckTables): Timestamp? = tables.recoverySample?.let(::dueAt)

    private fun dueAt(sample: RecoverySampleRow): Timestamp =
        sample.start + SAMPLE_MILLIS + settings.answerMillis + settings.observationDelayMillis

    /** A fault that begins before all answers of a sample are due spoils the sample. */
    private fun withoutDisturbedSample(tables: CheckTables): CheckTables {
        val start = tables.recoverySample?.start ?: return tables
        return if (isRecovered(tables, start)) tables else tables.copy(recoverySample = null)
    }

    private fun isRecovered(tables: CheckTables, at: Timestamp): Boolean {
        val disturbedAt = tables.disturbedAt ?: return true
        return tables.faults.isEmpty() && at - disturbedAt > settings.recoveryMillis
    }

    private fun count(tables: CheckTables, observation: Observation): CheckTables =
        when (observation) {
            is RequestSent -> countRequest(tables, observation)
            is AnswerEnded -> countAnswer(tables, observation)
            else -> tables
        }

    private fun countRequest(tables: CheckTables, sent: RequestSent): CheckTables {
        val sample = tables.recoverySample ?: RecoverySampleRow(start = sent.at)
        if (!sample.hasRequest(sent) || !isRecovered(tables, sent.at)) return tables
        return tables.copy(recoverySample = sample.copy(sent = sample.sent + 1))
    }

    private fun countAnswer(tables: CheckTables, answer: AnswerEnded): CheckTables {
        val sample = tables.recoverySample
        val sent = tables.requestEndedBy(answer)?.sent
        if (sample == null || sent == null || !sample.hasRequest(sent)) return tables
        val updated = when {
            answer.status == PAYMENT_REQUIRED -> sample.copy(sent = sample.sent - 1)
            answer.isComplete && isSuccess(answer.status) -> sample.copy(served = sample.served + 1)
            else -> sample
        }
        return tables.copy(recoverySample = updated)
    }

    private fun RecoverySampleRow.hasRequest(request: RequestSent): Boolean =
        request.isProper && request.at >= start && request.at - start < SAMPLE_MILLIS

    private fun check(tables: CheckTables, sample: RecoverySampleRow): CheckStep {
        if (sample.sent < MINIMUM_SAMPLE_REQUESTS) return CheckStep(tables)
        val counted = tables.withExercised(Guarantee.RECOVERY)
        val details = "served ${sample.served} of ${sample.sent} requests of a calm window"
            .takeIf { sample.served < MINIMUM_SERVED_SHARE * sample.sent }
        return checked(counted, Guarantee.RECOVERY, sample.start, request = null, details)
    }
}
