/**
 * Simulates the callers of a scenario: they try the routers in turn until a call is answered.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.RouteId
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.ModelTarget
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RequestTarget
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.routing.api.ServiceTarget
import org.ibismoor.routing.api.StreamId
import org.ibismoor.scenario.api.Call
import org.ibismoor.scenario.api.ChatCall
import org.ibismoor.scenario.api.ServiceCall

private const val CALLER_TIMEOUT_MILLIS = 15_000L
private const val CALLER_LINK_DELAY_MILLIS = 2L
internal const val MAX_CALLER_ATTEMPTS = 6
private const val RECONNECT_DELAY_MILLIS = 300L

internal class CallerSystem {
    fun handle(world: World, event: WorldEvent): World =
        when (event) {
            is CallAttemptDue -> tryCall(world, event.call)
            is CallAttemptTimedOut -> handleCallTimeout(world, event)
            else -> world
        }

    /** Callers start with the routers of their own failure domain and go on to the others after each failure. */
    private fun tryCall(world: World, id: Long): World {
        val call = world.calls.getValue(id)
        if (call.isAnswered || call.attempts >= MAX_CALLER_ATTEMPTS) return world
        val routers = world.routers.values.sortedWith(compareBy({ it.domain != call.domain }, { it.id }))
        val host = routers[call.attempts % routers.size]
        val stream = world.nextNumber
        val next = world.copy(
            nextNumber = stream + 1,
            calls = world.calls.put(id, call.copy(attempts = call.attempts + 1, stream = stream)),
            streams = world.streams.put(stream, StreamRow(id, host.id, host.session)),
        )
        val arrived = RequestArrived(StreamId(stream), routedRequest(call.call, stream))
        val isUnreachable = host.tables == null || host.id.text in world.isolatedVms
        return when {
            isUnreachable -> next.schedule(RECONNECT_DELAY_MILLIS, CallAttemptDue(id))
            else ->
                next.schedule(CALLER_LINK_DELAY_MILLIS, RouterMessageDue(host.id, host.session, arrived))
                    .schedule(CALLER_TIMEOUT_MILLIS, CallAttemptTimedOut(id, stream))
        }
    }

    private fun handleCallTimeout(world: World, event: CallAttemptTimedOut): World {
        val call = world.calls.getValue(event.call)
        if (call.stream != event.stream) return world
        val row = world.streams.getValue(event.stream)
        val disconnected = CallerDisconnected(StreamId(event.stream))
        return world.copy(calls = world.calls.put(event.call, call.copy(stream = null)))
            .schedule(CALLER_LINK_DELAY_MILLIS, RouterMessageDue(row.router, row.session, disconnected))
            .schedule(RECONNECT_DELAY_MILLIS, CallAttemptDue(event.call))
    }

    private fun routedRequest(call: Call, stream: Long): RoutedRequest =
        RoutedRequest(
            apiKey = ApiKeyDigest(call.apiKey),
            target = requestTarget(call),
            body = BodyDigest(call.key),
            idempotencyKey = call.key,
            generatedKey = "minted-$stream",
            priority = null,
            deadlineMillis = null,
        )

    private fun requestTarget(call: Call): RequestTarget =
        when (call) {
            is ChatCall -> ModelTarget(call.model, call.promptTokens, call.answerTokenBound, emptyList())
            is ServiceCall -> ServiceTarget(RouteId(call.route), call.method, call.path)
        }
}
