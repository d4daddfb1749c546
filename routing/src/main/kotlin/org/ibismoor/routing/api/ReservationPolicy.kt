/**
 * Decides how much a request reserves before dispatch. Amounts are in budget tokens.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.routing.internal.QuantileReservation

interface ReservationPolicy {
    /** Amount to reserve for [work]; [answerSize] is the learned size of answers of its route. */
    fun amount(work: Work, mode: ReservationMode, answerSize: Long?): Long

    /** The learned size after an answer of [tokens]. */
    fun learn(answerSize: Long?, tokens: Long): Long

    /** Amount to extend to when an answer of [tokens] so far has come near [reserved], or null if it has not. */
    fun extension(work: Work, reserved: Long, tokens: Long): Long?
}

/** The full bound in mode `full`; in mode `expected` the prompt and a tracked high quantile of recent answers. */
fun quantileReservation(): ReservationPolicy = QuantileReservation
