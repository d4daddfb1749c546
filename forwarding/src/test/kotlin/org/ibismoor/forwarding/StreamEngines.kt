/**
 * Upstreams for tests with simulated time. They run streams and go on with any stream without a check of its version.
 */
package org.ibismoor.forwarding

import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendAttempt
import kotlin.random.Random

private const val MINIMUM_START_MILLIS = 20L
private const val START_SPREAD_MILLIS = 80L
private const val STREAM_MILLIS = 2_000L
private const val STREAM_EVENTS = 40

internal class StreamEngines(
    private val random: Random,
    private val post: (router: String, message: ForwardingMessage) -> Unit,
) {
    private val runs = mutableListOf<StreamRun>()
    private val stopped = mutableSetOf<UpstreamId>()

    private class StreamRun(val router: String, val attempt: SendAttempt, val startsAt: Long) {
        var isBegun = false
    }

    fun send(router: String, attempt: SendAttempt, now: Long) {
        val startsAt = now + MINIMUM_START_MILLIS + random.nextLong(START_SPREAD_MILLIS)
        val run = StreamRun(router, attempt, startsAt)
        if (attempt.upstream.id in stopped) end(run, NotSent("connect")) else runs += run
    }

    fun run(now: Long) {
        runs.filter { !it.isBegun && now >= it.startsAt }.forEach { begin(it) }
        runs.filter { now >= it.startsAt + STREAM_MILLIS }.forEach { end(it, Delivered(STREAM_EVENTS, load = null)) }
    }

    /** Resets all connections to [upstream]. */
    fun reset(upstream: UpstreamId) = runs.filter { it.attempt.upstream.id == upstream }.forEach { run ->
        end(run, AnswerLost("reset", if (run.isBegun) 1 else 0, run.isBegun, isResumable = run.isBegun))
    }

    /** Ends [upstream] for good. */
    fun stop(upstream: UpstreamId) {
        stopped += upstream
        reset(upstream)
    }

    /** Cancels the runs of [router], or of its request [number] only. */
    fun cancel(router: String, number: RequestNumber? = null) {
        runs.removeAll { it.router == router && (number == null || it.attempt.number == number) }
    }

    private fun begin(run: StreamRun) {
        run.isBegun = true
        post(run.router, FirstEventArrived(run.attempt.number, run.attempt.attempt, load = null))
    }

    private fun end(run: StreamRun, result: AttemptResult) {
        runs -= run
        post(run.router, AttemptEnded(run.attempt.number, run.attempt.attempt, result))
    }
}
