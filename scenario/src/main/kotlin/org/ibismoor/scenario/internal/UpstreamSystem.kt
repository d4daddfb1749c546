/**
 * Simulates the upstreams of a scenario: they run the requests that routers send and answer them.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.AnswerStarted
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.scenario.api.Call
import org.ibismoor.scenario.api.ChatCall
import org.ibismoor.scenario.api.ServiceCall

private const val SERVICE_DURATION_MILLIS = 40L
private const val MILLIS_PER_TOKEN = 20L
private const val LOST_ANSWER_TIMEOUT_MILLIS = 2_000L
private const val STATUS_OK = 200

/**
 * An upstream may still receive work for this long after the platform listed it as leaving. Covers the interval at
 * which the list is read, the contact timeout after which a router turns to the control process of another failure
 * domain, one lost heartbeat, and a request in transit.
 */
private const val LEAVING_GRACE_MILLIS = 8_000L

internal class UpstreamSystem {
    fun handle(world: World, event: WorldEvent): World =
        when (event) {
            is UpstreamRequestArrived -> startUpstreamWork(world, event)
            is UpstreamAnswerDue -> completeUpstreamWork(world, event)
            else -> world
        }

    /** An upstream also runs a request whose router or caller no longer waits for the answer. */
    private fun startUpstreamWork(world: World, event: UpstreamRequestArrived): World {
        val dispatch = event.dispatch
        val row = world.streams.getValue(dispatch.stream.value)
        if (row.isCancelled) return world
        val call = world.calls.getValue(row.call).call
        val observations = world.observations.withExecution(call.key, dispatch.stream.value, dispatch.isIdempotent)
        val violation = leavingViolation(world, dispatch.upstream.id)
        val checked = listOfNotNull(violation).fold(observations, Observations::withViolation)
        val started = AnswerStarted(dispatch.stream, dispatch.upstream.id)
        return sendAnswer(world.copy(observations = checked), event.session, dispatch, started)
            .schedule(durationMillis(call), UpstreamAnswerDue(dispatch, event.session, costTokens(call, dispatch)))
    }

    private fun leavingViolation(world: World, upstream: UpstreamId): String? =
        world.leavingSince[upstream]?.takeIf { world.now > it + LEAVING_GRACE_MILLIS }
            ?.let { "$upstream got work while leaving" }

    private fun durationMillis(call: Call): Long =
        when (call) {
            is ChatCall -> call.answerTokens * MILLIS_PER_TOKEN
            is ServiceCall -> SERVICE_DURATION_MILLIS
        }

    private fun costTokens(call: Call, dispatch: Dispatch): Long =
        when (call) {
            is ChatCall -> call.promptTokens + call.answerTokens
            is ServiceCall -> {
                val rules = (dispatch.route as ServiceRoute).rules
                rules.first { it.method == call.method && call.path.startsWith(it.pathPrefix) }.price
            }
        }

    private fun completeUpstreamWork(world: World, event: UpstreamAnswerDue): World {
        val dispatch = event.dispatch
        if (world.streams.getValue(dispatch.stream.value).isCancelled) return world
        val completed = AnswerCompleted(dispatch.stream, dispatch.upstream.id, event.cost, STATUS_OK)
        return sendAnswer(world, event.session, dispatch, completed)
    }

    private fun sendAnswer(world: World, session: SessionId, dispatch: Dispatch, message: RoutingMessage): World {
        val row = world.streams.getValue(dispatch.stream.value)
        val host = world.routers.getValue(row.router)
        if (!world.isPartitioned(dispatch.upstream.endpoint, host.endpoint)) {
            return world.schedule(world.network.delayMillis, RouterMessageDue(row.router, session, message))
        }
        val failure = AttemptFailed(dispatch.stream, dispatch.upstream.id, AttemptFailure.NO_ANSWER)
        return world.schedule(LOST_ANSWER_TIMEOUT_MILLIS, RouterMessageDue(row.router, session, failure))
    }
}

internal val Upstream.endpoint: Endpoint get() = Endpoint(domain, id.text)
