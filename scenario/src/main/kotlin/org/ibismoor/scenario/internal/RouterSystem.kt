/**
 * Runs the routers of a scenario and carries out their effects on the network, the upstreams and the callers.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.fleet.api.LedgerRequestsReceived
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.DrainFinished
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.scenario.api.Defect
import org.ibismoor.scenario.api.TraceKind

private const val LEDGER_TIMEOUT_MILLIS = 1_000L
private const val CONNECT_FAILURE_MILLIS = 20L
private const val CALLER_RETRY_MILLIS = 300L
private const val CALLER_ATTEMPTS = 6

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class RouterSystem(
    private val machine: (RouterHost) -> TickMachine<RoutingTables, RoutingMessage, RoutingEffect>,
) {
    fun run(world: World): World = world.routers.keys.sorted().fold(world, ::runHost)

    /** Time of the earliest due work of all routers. */
    fun nextDue(world: World): Timestamp? =
        world.routers.values.filter { !it.isFrozen && it.tables != null }.mapNotNull { it.due }
            .minOrNull()

    private fun runHost(world: World, id: RouterId): World {
        val host = world.routers.getValue(id)
        return if (isDue(world, host)) step(world, host) else world
    }

    private fun isDue(world: World, host: RouterHost): Boolean {
        val hasWork = host.waiting.isNotEmpty() || host.due?.let { it <= world.now } ?: false
        return hasWork && !host.isFrozen && host.tables != null
    }

    private fun step(world: World, host: RouterHost): World {
        val tables = checkNotNull(host.tables)
        val step = machine(host).run(tables, Tick(host.clock.show(world.now), WallTime(world.now.millis), host.waiting))
        val due = machine(host).nextDue(step.tables)?.let(host.clock::timeOf)
        val next = host.copy(tables = step.tables, waiting = persistentListOf(), due = due)
        val moved = world.copy(routers = world.routers.put(host.id, next))
        return step.effects.fold(moved) { state, effect -> perform(state, next, effect) }
    }

    private fun perform(world: World, host: RouterHost, effect: RoutingEffect): World =
        when (effect) {
            is SendLedgerRequest -> ask(world, host, effect)
            is Dispatch -> dispatch(world.traced(TraceKind.DECISION, dispatchText(host, effect)), host, effect)
            is ReleaseAnswer -> released(world, effect.stream.value)
            is RefuseRequest -> refuse(world, host, effect)
            is CancelAttempt -> cancelled(world, effect.stream.value)
            is CountEvent, is DrainFinished -> world
        }

    private fun refuse(world: World, host: RouterHost, effect: RefuseRequest): World {
        val isFalse = Defect.FALSE_NOT_RUN in world.defects
        val refusal = if (isFalse) effect.copy(outcome = Outcome.NOT_RUN) else effect
        return refused(world.traced(TraceKind.OUTCOME, refusalText(host, refusal)), refusal)
    }

    private fun dispatchText(host: RouterHost, effect: Dispatch): String =
        "${host.id} sends ${effect.key.key} (stream ${effect.stream.value}) to ${effect.upstream.id}"

    private fun refusalText(host: RouterHost, effect: RefuseRequest): String =
        "${host.id} refuses ${effect.key?.key} (stream ${effect.stream.value}): ${effect.reason} ${effect.outcome}"

    /** A control process that is down or cut off is noticed at once as not connected. */
    private fun ask(world: World, host: RouterHost, effect: SendLedgerRequest): World {
        val target = world.replicas.getValue(effect.authority.domain)
        val isReachable = target.tables != null && !world.isCut(host.endpoint, target.endpoint)
        if (!isReachable) {
            val failure = LedgerRequestFailed(effect.request, effect.authority, isDelivered = false)
            return world.after(CONNECT_FAILURE_MILLIS, ToRouter(host.id, host.session, failure))
        }
        val reply = world.nextNumber
        val row = LedgerReply(host.id, host.session, effect.request, effect.authority)
        val message = LedgerRequestsReceived(reply, host.session, listOf(effect.request))
        return world.copy(nextNumber = reply + 1, replies = world.replies.put(reply, row))
            .after(LEDGER_TIMEOUT_MILLIS, ReplyTimedOut(reply))
            .send(host.endpoint, target.endpoint, ToReplica(target.replica, message))
    }

    private fun dispatch(world: World, host: RouterHost, effect: Dispatch): World {
        if (world.isCut(host.endpoint, effect.upstream.endpoint)) {
            val failure = AttemptFailed(effect.stream, effect.upstream.id, AttemptFailure.NOT_SENT)
            return world.after(CONNECT_FAILURE_MILLIS, ToRouter(host.id, host.session, failure))
        }
        val event = UpstreamReached(effect, host.session)
        val reached = world.after(world.network.delayMillis, event)
        val isDoubled = Defect.DOUBLE_DISPATCH in world.defects
        return if (isDoubled) reached.after(2 * world.network.delayMillis, event) else reached
    }

    private fun cancelled(world: World, stream: Long): World {
        val row = world.streams[stream] ?: return world
        return world.copy(streams = world.streams.put(stream, row.copy(isCancelled = true)))
    }

    private fun released(world: World, stream: Long): World {
        val row = world.streams[stream]?.takeIf { it.router.text !in world.isolated } ?: return world
        val call = world.calls.getValue(row.call)
        val answered = call.copy(isAnswered = true, answeredAt = world.now, stream = null)
        return world.traced(TraceKind.OUTCOME, "${row.router} answers ${call.call.key} (stream $stream)").copy(
            calls = world.calls.put(row.call, answered),
            observed = if (call.stream == stream) world.observed.answered(call.call.key) else world.observed,
        )
    }

    private fun refused(world: World, effect: RefuseRequest): World {
        val row = world.streams[effect.stream.value]?.takeIf { it.router.text !in world.isolated } ?: return world
        val call = world.calls.getValue(row.call)
        return if (call.stream == effect.stream.value) refusedCall(world, row, call, effect) else world
    }

    private fun refusedCall(world: World, row: StreamRow, call: CallRow, effect: RefuseRequest): World {
        val next = call.copy(stream = null, refusals = call.refusals + Refusal(effect.reason, effect.outcome))
        val moved = world.copy(calls = world.calls.put(row.call, next), observed = observeRefusal(world, call, effect))
        val isRetried = effect.outcome != Outcome.RAN && next.attempts < CALLER_ATTEMPTS
        return if (isRetried) moved.after(CALLER_RETRY_MILLIS, CallTried(row.call)) else moved
    }

    private fun observeRefusal(world: World, call: CallRow, effect: RefuseRequest): Observations =
        when (effect.outcome) {
            Outcome.NOT_RUN ->
                world.observed.refusedNotRun(call.call.key, effect.stream.value, call.call.isIdempotent)
            else -> world.observed
        }
}
