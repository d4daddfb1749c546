/**
 * Records the answers and refusals that callers receive. A refused call is tried again unless it ran.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.scenario.api.TraceKind

private const val CALLER_RETRY_DELAY_MILLIS = 300L

internal fun recordAnswer(world: World, stream: Long): World {
    val row = world.streams[stream]?.takeIf { it.router.text !in world.isolatedVms } ?: return world
    val call = world.calls.getValue(row.call)
    val isAwaited = call.stream == stream
    val answered = call.copy(isAnswered = true, answeredAt = world.now, stream = null)
    return world.withTraceLine(TraceKind.OUTCOME, "${row.router} answers ${call.call.key} (stream $stream)").copy(
        calls = world.calls.put(row.call, answered),
        observations = if (isAwaited) world.observations.withAnswer(call.call.key) else world.observations,
    )
}

internal fun recordRefusal(world: World, effect: RefuseRequest): World {
    val row = world.streams[effect.stream.value]?.takeIf { it.router.text !in world.isolatedVms } ?: return world
    val call = world.calls.getValue(row.call)
    return if (call.stream == effect.stream.value) recordCallRefusal(world, row, call, effect) else world
}

private fun recordCallRefusal(world: World, row: StreamRow, call: CallRow, effect: RefuseRequest): World {
    val next = call.copy(stream = null, refusals = call.refusals + Refusal(effect.reason, effect.outcome))
    val observations = observeRefusal(world, call, effect)
    val updated = world.copy(calls = world.calls.put(row.call, next), observations = observations)
    val isRetried = effect.outcome != Outcome.RAN && next.attempts < MAX_CALLER_ATTEMPTS
    return if (isRetried) updated.schedule(CALLER_RETRY_DELAY_MILLIS, CallAttemptDue(row.call)) else updated
}

private fun observeRefusal(world: World, call: CallRow, effect: RefuseRequest): Observations =
    when (effect.outcome) {
        Outcome.NOT_RUN ->
            world.observations.withNotRunRefusal(call.call.key, effect.stream.value, call.call.isIdempotent)
        else -> world.observations
    }
