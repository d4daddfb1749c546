/**
 * Tracks the 95th percentile of answer sizes by small multiplicative steps: 19 up for each answer above it and 1 down
 * for each below, so that it settles where one answer in twenty is larger.
 */
package org.ibismoor.routing.internal

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.routing.api.ReservationPolicy
import org.ibismoor.routing.api.Work

private const val STEP_DIVISOR = 200L
private const val STEPS_UP = 19L
private const val SMALLEST_SIZE = 16L

// An extension takes one trip to the ledger, so it is asked for while a fifth of the reservation is left.
private const val NEAR_NUMERATOR = 4L
private const val NEAR_DENOMINATOR = 5L

internal object QuantileReservation : ReservationPolicy {
    override fun amount(work: Work, mode: ReservationMode, answerSize: Long?): Long =
        when {
            mode == ReservationMode.FULL || answerSize == null -> work.costBound
            else -> (work.promptBound + answerSize).coerceAtMost(work.costBound)
        }

    override fun learn(answerSize: Long?, tokens: Long): Long {
        val size = answerSize ?: return tokens.coerceAtLeast(SMALLEST_SIZE)
        val step = size / STEP_DIVISOR + 1
        return if (tokens > size) size + STEPS_UP * step else (size - step).coerceAtLeast(SMALLEST_SIZE)
    }

    override fun extension(work: Work, reserved: Long, tokens: Long): Long? {
        val spent = work.promptBound + tokens
        val isNear = reserved < work.costBound && spent * NEAR_DENOMINATOR >= reserved * NEAR_NUMERATOR
        return if (isNear) (work.promptBound + 2 * tokens + SMALLEST_SIZE).coerceIn(reserved, work.costBound) else null
    }
}
