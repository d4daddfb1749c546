/**
 * Link between the traffic thread of one request and the control thread. The control thread puts decisions in and may
 * cancel the attempt under way; the traffic thread takes decisions out.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.StreamId
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Far beyond each deadline of the control state; it only frees the thread if the control thread has died. */
private const val LONGEST_WAIT_MINUTES = 30L

internal class StreamExchange(val id: StreamId, private val post: (RoutingMessage) -> Unit) {
    private val decisions = LinkedBlockingQueue<StreamDecision>()
    private var cancelAttempt: () -> Unit = {}
    private var isCancelled = false

    fun report(message: RoutingMessage) = post(message)

    fun decide(decision: StreamDecision) {
        if (decision is StreamDecision.Start) allowAttempt()
        decisions.add(decision)
    }

    /** Waits for the next decision. */
    fun await(): StreamDecision =
        decisions.poll(LONGEST_WAIT_MINUTES, TimeUnit.MINUTES) ?: StreamDecision.Reject(unexpected())

    /** Sets what [cancel] does from now on. A cancellation since the last dispatch is made up for at once. */
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
    private fun allowAttempt() {
        isCancelled = false
        cancelAttempt = {}
    }

    /** A refusal for a decision that does not fit the state of the stream. */
    fun unexpected() = RefuseRequest(id, null, RefusalReason.INTERNAL_ERROR, Outcome.MAY_HAVE_RUN, null)
}
