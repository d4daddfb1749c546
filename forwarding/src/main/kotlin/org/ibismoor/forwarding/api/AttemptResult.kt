/**
 * How an attempt at an upstream ended.
 */
package org.ibismoor.forwarding.api

sealed interface AttemptResult

/** Load that an upstream reported with an answer. */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    /** How long work takes at this moment, in percent of the usual time; null if the upstream does not report it. */
    val workTimePercent: Int? = null,
)

/** The caller has received a complete and successful answer. [events] is 0 for an answer that is not a stream. */
data class Delivered(val events: Int, val load: ReportedLoad?) : AttemptResult

/** The upstream ran the request and answered with failure [status]; the traffic thread keeps the answer. */
data class AnsweredFailure(val status: Int, val load: ReportedLoad?) : AttemptResult

/** The upstream reported that it did not run the request; [isOtherUpstream] if another process has its address. */
data class NotExecuted(val status: Int, val isOtherUpstream: Boolean, val load: ReportedLoad?) : AttemptResult

/** No byte of the request was sent. */
data class NotSent(val cause: String) : AttemptResult

/**
 * The request was sent and no complete answer was received. [events] is the number of delivered events; [isResumable]
 * if another upstream can continue the answer.
 */
data class AnswerLost(val cause: String, val events: Int, val isAnswerStarted: Boolean, val isResumable: Boolean) :
    AttemptResult
