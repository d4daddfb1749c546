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
private const val CONNECT_FAILURE_DELAY_MILLIS = 20L

internal class RouterSystem(
    private val machine: (RouterHost) -> TickMachine<RoutingTables, RoutingMessage, RoutingEffect>,
) {
    fun run(world: World): World = world.routers.keys.sorted().fold(world, ::runHost)

    /** The earliest time by which one of the running routers must run. */
    fun nextDue(world: World): Timestamp? =
        world.routers.values.filter { !it.isFrozen && it.tables != null }.mapNotNull { it.nextRunAt }
            .minOrNull()

    private fun runHost(world: World, id: RouterId): World {
        val host = world.routers.getValue(id)
        return if (isDue(world, host)) step(world, host) else world
    }

    private fun isDue(world: World, host: RouterHost): Boolean {
        val hasWork = host.inbox.isNotEmpty() || host.nextRunAt?.let { it <= world.now } ?: false
        return hasWork && !host.isFrozen && host.tables != null
    }

    private fun step(world: World, host: RouterHost): World {
        val tables = checkNotNull(host.tables)
        val tick = Tick(host.clock.localTime(world.now), WallTime(world.now.millis), host.inbox)
        val step = machine(host).run(tables, tick)
        val nextRunAt = machine(host).nextDue(step.tables)?.let(host.clock::scenarioTime)
        val next = host.copy(tables = step.tables, inbox = persistentListOf(), nextRunAt = nextRunAt)
        val updated = world.copy(routers = world.routers.put(host.id, next))
        return step.effects.fold(updated) { state, effect -> perform(state, next, effect) }
    }

    private fun perform(world: World, host: RouterHost, effect: RoutingEffect): World =
        when (effect) {
            is SendLedgerRequest -> sendLedgerRequest(world, host, effect)
            is Dispatch -> dispatch(world.withTraceLine(TraceKind.DECISION, dispatchText(host, effect)), host, effect)
            is ReleaseAnswer -> recordAnswer(world, effect.stream.value)
            is RefuseRequest -> refuse(world, host, effect)
            is CancelAttempt -> cancelStream(world, effect.stream.value)
            is CountEvent, is DrainFinished -> world
        }

    private fun refuse(world: World, host: RouterHost, effect: RefuseRequest): World {
        val isFalse = Defect.FALSE_NOT_RUN in world.defects
        val refusal = if (isFalse) effect.copy(outcome = Outcome.NOT_RUN) else effect
        return recordRefusal(world.withTraceLine(TraceKind.OUTCOME, refusalText(host, refusal)), refusal)
    }

    /** A request to a control process that is down or unreachable fails as not delivered, without a timeout. */
    private fun sendLedgerRequest(world: World, host: RouterHost, effect: SendLedgerRequest): World {
        val target = world.replicas.getValue(effect.authority.domain)
        val isReachable = target.tables != null && !world.isPartitioned(host.endpoint, target.endpoint)
        if (!isReachable) {
            val failure = LedgerRequestFailed(effect.request, effect.authority, isDelivered = false)
            return world.schedule(CONNECT_FAILURE_DELAY_MILLIS, RouterMessageDue(host.id, host.session, failure))
        }
        val reply = world.nextNumber
        val row = PendingLedgerRequest(host.id, host.session, effect.request, effect.authority)
        val message = LedgerRequestsReceived(reply, host.session, listOf(effect.request))
        return world.copy(nextNumber = reply + 1, pendingExchanges = world.pendingExchanges.put(reply, row))
            .schedule(LEDGER_TIMEOUT_MILLIS, ExchangeTimedOut(reply))
            .send(host.endpoint, target.endpoint, ReplicaMessageDue(target.replica, message))
    }

    private fun dispatch(world: World, host: RouterHost, effect: Dispatch): World {
        if (world.isPartitioned(host.endpoint, effect.upstream.endpoint)) {
            val failure = AttemptFailed(effect.stream, effect.upstream.id, AttemptFailure.NOT_SENT)
            return world.schedule(CONNECT_FAILURE_DELAY_MILLIS, RouterMessageDue(host.id, host.session, failure))
        }
        val event = UpstreamRequestArrived(effect, host.session)
        val scheduled = world.schedule(world.network.delayMillis, event)
        val isDoubled = Defect.DOUBLE_DISPATCH in world.defects
        return if (isDoubled) scheduled.schedule(2 * world.network.delayMillis, event) else scheduled
    }

    private fun cancelStream(world: World, stream: Long): World {
        val row = world.streams[stream] ?: return world
        return world.copy(streams = world.streams.put(stream, row.copy(isCancelled = true)))
    }
}

private fun dispatchText(host: RouterHost, effect: Dispatch): String =
    "${host.id} sends ${effect.key.key} (stream ${effect.stream.value}) to ${effect.upstream.id}"

private fun refusalText(host: RouterHost, effect: RefuseRequest): String =
    "${host.id} refuses ${effect.key?.key} (stream ${effect.stream.value}): ${effect.reason} ${effect.outcome}"
