/**
 * Callers for tests with simulated time. They begin streams and take up those that break off, at any router.
 */
package org.ibismoor.forwarding

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.StreamContinuation
import kotlin.random.Random

private const val MAXIMUM_TRIES = 3
private const val MINIMUM_TAKE_UP_MILLIS = 5L
private const val TAKE_UP_SPREAD_MILLIS = 495L

/** Callers wait as long as a refusal says, up to a third of the time that they have. */
private const val MAXIMUM_WAIT_MILLIS = 1_300L

internal class SimulatedStream(val name: String) {
    /** Call whose answer brought the first event. */
    var firstCallId: String? = null

    /** Versions of the upstreams that sent events, in the order of their first ones. */
    val versions = linkedSetOf<SoftwareVersion>()
}

/** What a caller does to go on with [stream] after one break. */
internal class TakeUp(val stream: SimulatedStream) {
    var tries = 0
    var hasGoneOn = false
}

internal class StreamCall(
    val callId: String,
    val stream: SimulatedStream,
    val continuation: StreamContinuation? = null,
    val takeUp: TakeUp? = null,
) {
    /** Versions of the upstreams to which the call was sent, by the number of the attempt. */
    val attempts = mutableMapOf<Int, SoftwareVersion>()
    var hasEvents = false
    var refusal: RefuseRequest? = null
    val isRefusedAsNotRun: Boolean get() = refusal?.outcome == Outcome.NOT_RUN && attempts.isEmpty()
}

internal class StreamCallers(
    private val random: Random,
    private val schedule: (delay: Long, action: () -> Unit) -> Unit,
    private val send: (StreamCall) -> Unit,
) {
    private var calls = 0
    val streams = mutableListOf<SimulatedStream>()
    val takeUps = mutableListOf<TakeUp>()

    fun beginStream() {
        val stream = SimulatedStream("stream-${streams.size}").also(streams::add)
        send(StreamCall(nextCallId(), stream))
    }

    /** A call that goes on with a stream of which the fleet knows at most [firstCallId]; it is made once. */
    fun continueUnknown(firstCallId: String?): StreamCall {
        val stream = SimulatedStream("unknown-${calls + 1}")
        return StreamCall(nextCallId(), stream, StreamContinuation(firstCallId))
    }

    fun receiveEvent(call: StreamCall, attempt: Int) {
        call.hasEvents = true
        call.takeUp?.hasGoneOn = true
        if (call.stream.firstCallId == null) call.stream.firstCallId = call.callId
        call.stream.versions += call.attempts.getValue(attempt)
    }

    /** The answer of [call] broke off, or its router ended without one. */
    fun handleBreak(call: StreamCall) {
        val takeUp = call.takeUp?.takeIf { !call.hasEvents } ?: TakeUp(call.stream)
        if (call.stream.firstCallId != null) takeUpLater(takeUp, waitMillis = 0)
    }

    fun handleRefusal(call: StreamCall, refusal: RefuseRequest) {
        call.refusal = refusal
        val takeUp = call.takeUp
        when {
            call.hasEvents -> handleBreak(call)
            takeUp != null -> takeUpLater(takeUp, refusal.retryAfterMillis ?: 0)
        }
    }

    private fun takeUpLater(takeUp: TakeUp, waitMillis: Long) {
        if (takeUp.tries == MAXIMUM_TRIES) return
        if (takeUp.tries++ == 0) takeUps += takeUp
        val delay = MINIMUM_TAKE_UP_MILLIS + random.nextLong(TAKE_UP_SPREAD_MILLIS)
        schedule(delay + minOf(waitMillis, MAXIMUM_WAIT_MILLIS)) {
            val continuation = StreamContinuation(takeUp.stream.firstCallId)
            send(StreamCall(nextCallId(), takeUp.stream, continuation, takeUp))
        }
    }

    private fun nextCallId(): String = "call-${++calls}"
}
