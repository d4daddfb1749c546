/**
 * Simulated upstreams for tests: a deadly request crashes each upstream that begins to run it. A crash ends all
 * requests at the upstream, which refuses connections for some seconds and then serves again.
 */
package org.ibismoor.forwarding

import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.SendAttempt
import kotlin.random.Random

private const val MINIMUM_RUN_MILLIS = 20L
private const val RUN_SPREAD_MILLIS = 120L
private const val STREAM_MILLIS = 400L
private const val STREAM_EVENTS = 12
private const val RESTART_MILLIS = 3_000L

internal class DeadlyUpstreams(
    private val random: Random,
    private val post: (router: String, message: ForwardingMessage) -> Unit,
) {
    private val requests = mutableMapOf<String, MutableList<RunningRequest>>()
    private val downUntil = mutableMapOf<String, Long>()

    /** Times of the crashes under the deadly request. */
    val deadlyCrashes = mutableListOf<Long>()

    /** Times at which the deadly request reached an upstream. */
    val deadlyArrivals = mutableListOf<Long>()

    private class RunningRequest(
        val router: String,
        val attempt: SendAttempt,
        val content: SimulatedContent,
        val actsAt: Long,
        var isBegun: Boolean = false,
    )

    fun send(router: String, attempt: SendAttempt, content: SimulatedContent, now: Long) {
        val upstream = attempt.upstream.id.text
        val actsAt = now + MINIMUM_RUN_MILLIS + random.nextLong(RUN_SPREAD_MILLIS)
        val request = RunningRequest(router, attempt, content, actsAt)
        if (now < (downUntil[upstream] ?: 0)) {
            end(request, NotSent("connect"))
        } else {
            if (content.isDeadly) deadlyArrivals += now
            requests.getOrPut(upstream, ::mutableListOf) += request
        }
    }

    fun run(now: Long) {
        requests.keys.toList().forEach { upstream ->
            requests.getValue(upstream).toList().forEach { request ->
                if (request in requests[upstream].orEmpty() && now >= request.actsAt) advance(upstream, request, now)
            }
        }
    }

    /** Stops [upstream] with all its requests. */
    fun crash(upstream: String, now: Long) {
        downUntil[upstream] = now + RESTART_MILLIS
        requests.remove(upstream).orEmpty().forEach { request ->
            val events = if (request.isBegun) 1 else 0
            end(request, AnswerLost("reset", events, request.isBegun, isResumable = request.isBegun))
        }
    }

    private fun advance(upstream: String, request: RunningRequest, now: Long) {
        val isStream = request.attempt.terms.isStream
        when {
            request.content.isDeadly -> {
                deadlyCrashes += now
                crash(upstream, now)
            }
            isStream && !request.isBegun -> {
                request.isBegun = true
                post(request.router, FirstEventArrived(request.attempt.number, request.attempt.attempt, load = null))
            }
            !isStream || now >= request.actsAt + STREAM_MILLIS -> {
                requests.getValue(upstream) -= request
                end(request, Delivered(if (isStream) STREAM_EVENTS else 0, load = null))
            }
        }
    }

    private fun end(request: RunningRequest, result: AttemptResult) =
        post(request.router, AttemptEnded(request.attempt.number, request.attempt.attempt, result))
}
