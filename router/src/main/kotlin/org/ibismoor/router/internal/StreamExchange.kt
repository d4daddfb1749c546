/**
 * Connects the traffic thread of one request with the control thread. The control thread posts decisions and may cancel
 * the running attempt; the traffic thread waits for decisions and reports progress.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.StreamId
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Exceeds the longest deadline of a request (1 h, the limit of `deadline_ms` of a route) and the time for its charge.
 * It applies only if the control thread has terminated.
 */
internal const val DECISION_TIMEOUT_MILLIS = 2 * 60 * 60 * 1_000L

internal class StreamExchange(
    val id: StreamId,
    val trace: AnswerTrace,
    private val post: (RoutingMessage) -> Unit,
) {
    private val decisions = LinkedBlockingQueue<StreamDecision>()
    private var cancelAttempt: () -> Unit = {}
    private var isCancelled = false

    fun report(message: RoutingMessage) = post(message)

    fun postDecision(decision: StreamDecision) {
        if (decision is StreamDecision.StartAttempt) {
            trace.upstream = decision.dispatch.upstream.id
            resetCancellation()
        }
        decisions.add(decision)
    }

    /** Waits for the next decision; a refusal with an internal error if none arrives in time. */
    fun awaitDecision(): StreamDecision =
        decisions.poll(DECISION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            ?: StreamDecision.SendRefusal(internalErrorRefusal())

    /** Sets the action of [cancel] and runs it immediately if the current attempt was already cancelled. */
    @Synchronized
    fun onCancel(action: () -> Unit) {
        cancelAttempt = action
        if (isCancelled) action()
    }

    @Synchronized
    fun cancel() {
        isCancelled = true
        cancelAttempt()
    }

    @Synchronized
    private fun resetCancellation() {
        isCancelled = false
        cancelAttempt = {}
    }

    /** The refusal for a missing decision or one that is invalid in the state of the stream. */
    fun internalErrorRefusal() = RefuseRequest(id, null, RefusalReason.INTERNAL_ERROR, Outcome.MAY_HAVE_RUN, null)
}
