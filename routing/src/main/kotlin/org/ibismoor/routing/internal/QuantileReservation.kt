/**
 * Estimates the 95th percentile of answer sizes with small multiplicative steps: 19 up for each answer above the
 * estimate and 1 down for each other answer, so that it converges to where one answer in twenty is larger.
 */
package org.ibismoor.routing.internal

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.routing.api.ReservationPolicy
import org.ibismoor.routing.api.Work

private const val STEP_DIVISOR = 200L
private const val STEPS_UP = 19L
private const val MIN_SIZE_TOKENS = 16L

// An extension takes a round trip to the ledger, so it is requested while a fifth of the reservation is left.
private const val EXTEND_NUMERATOR = 4L
private const val EXTEND_DENOMINATOR = 5L

internal object QuantileReservation : ReservationPolicy {
    override fun amount(work: Work, mode: ReservationMode, answerSize: Long?): Long =
        when {
            mode == ReservationMode.FULL || answerSize == null -> work.costBound
            else -> (work.promptBound + answerSize).coerceAtMost(work.costBound)
        }

    override fun updateAnswerSize(answerSize: Long?, tokens: Long): Long {
        val size = answerSize ?: return tokens.coerceAtLeast(MIN_SIZE_TOKENS)
        val step = size / STEP_DIVISOR + 1
        return if (tokens > size) size + STEPS_UP * step else (size - step).coerceAtLeast(MIN_SIZE_TOKENS)
    }

    override fun extension(work: Work, reserved: Long, tokens: Long): Long? {
        val spent = work.promptBound + tokens
        val isNearlyUsed = reserved < work.costBound && spent * EXTEND_DENOMINATOR >= reserved * EXTEND_NUMERATOR
        val next = work.promptBound + 2 * tokens + MIN_SIZE_TOKENS
        return if (isNearlyUsed) next.coerceIn(reserved, work.costBound) else null
    }
}
