/**
 * Decides how many budget tokens a request reserves before dispatch.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.routing.internal.QuantileReservation

interface ReservationPolicy {
    /** Amount to reserve for [work]; [answerSize] is the estimated answer size of its route, if there is one. */
    fun amount(work: Work, mode: ReservationMode, answerSize: Long?): Long

    /** The estimate after an answer of [tokens]. */
    fun updateAnswerSize(answerSize: Long?, tokens: Long): Long

    /** New amount if an answer of [tokens] so far has nearly used up [reserved], otherwise null. */
    fun extension(work: Work, reserved: Long, tokens: Long): Long?
}

/** Mode `full` reserves the cost bound; mode `expected` the prompt and a high quantile of recent answer sizes. */
fun quantileReservation(): ReservationPolicy = QuantileReservation
