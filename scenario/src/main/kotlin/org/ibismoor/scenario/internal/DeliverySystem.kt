/**
 * Delivers messages to the processes of a scenario, sends heartbeats, reads the platform list and expires exchanges.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.LeavingVmsReceived
import org.ibismoor.fleet.api.RouterHeartbeatReceived
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.RouterState
import org.ibismoor.membership.api.RouterView
import org.ibismoor.membership.api.withAnswer
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.scenario.api.Defect

internal const val HEARTBEAT_INTERVAL_MILLIS = 1_000L

/** A router that had no contact with a control process for this long also sends its heartbeats to the next domain. */
private const val CONTACT_TIMEOUT_MILLIS = 2_500L

private const val PLATFORM_READ_INTERVAL_MILLIS = 1_000L

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class DeliverySystem {
    fun handle(world: World, event: WorldEvent): World =
        when (event) {
            is ReplicaMessageDue -> enqueueForReplica(world, event)
            is PlatformReadDue -> readPlatform(world)
            is RouterMessageDue -> enqueueForRouter(world, event)
            is HeartbeatDue -> sendHeartbeats(world, event.router, event.session)
            is HeartbeatAnswered -> receiveHeartbeatAnswer(world, event)
            is ExchangeTimedOut -> expireExchange(world, event.reply)
            else -> world
        }

    private fun enqueueForReplica(world: World, event: ReplicaMessageDue): World {
        val host = world.replicas.getValue(event.replica.domain)
        if (host.replica != event.replica || host.tables == null) return world
        val next = host.copy(inbox = host.inbox.add(event.message))
        return world.copy(replicas = world.replicas.put(event.replica.domain, next))
    }

    /** Isolated control processes cannot read the list. */
    private fun readPlatform(world: World): World {
        val next = world.schedule(PLATFORM_READ_INTERVAL_MILLIS, PlatformReadDue)
        val listed = world.leavingSince.keys.map { world.declaredConfiguration.upstreams.getValue(it).baseUrl }.toSet()
        val readers = world.replicas.values.filter { canReadPlatform(world, it) }
        return readers.fold(next) { state, host ->
            enqueueForReplica(state, ReplicaMessageDue(host.replica, LeavingVmsReceived(listed)))
        }
    }

    private fun canReadPlatform(world: World, host: ReplicaHost): Boolean =
        Defect.UNREAD_PLATFORM !in world.defects && host.replica.domain.text !in world.isolatedVms

    private fun enqueueForRouter(world: World, event: RouterMessageDue): World {
        val host = runningRouter(world, event.router, event.session) ?: return world
        val next = host.copy(inbox = host.inbox.add(event.message))
        return world.copy(routers = world.routers.put(event.router, next))
    }

    private fun sendHeartbeats(world: World, id: RouterId, session: SessionId): World {
        val host = runningRouter(world, id, session) ?: return world
        val next = world.schedule(HEARTBEAT_INTERVAL_MILLIS, HeartbeatDue(id, session))
        val targets = if (host.isFrozen) emptySet() else heartbeatTargets(world, host)
        return targets.fold(next) { state, domain -> sendHeartbeat(state, host, domain) }
    }

    private fun sendHeartbeat(world: World, host: RouterHost, domain: FailureDomainId): World {
        val target = world.replicas.getValue(domain)
        val reply = world.nextNumber
        val message = RouterHeartbeatReceived(reply, heartbeat(host, host.heartbeats[domain] ?: HeartbeatRow()))
        return world.copy(
            nextNumber = reply + 1,
            pendingExchanges = world.pendingExchanges.put(reply, PendingHeartbeat(host.id, host.session, domain)),
        ).send(host.endpoint, target.endpoint, ReplicaMessageDue(target.replica, message))
    }

    /**
     * As in the router process: the router's own domain, the next ones up to the first with recent contact, and the
     * domains that hold its reservations.
     */
    private fun heartbeatTargets(world: World, host: RouterHost): Set<FailureDomainId> {
        val domains = listOf(host.domain) + (world.replicas.keys - host.domain).sorted()
        val primary = domains.firstOrNull { hasContact(world, host, it) } ?: domains.last()
        val holders = host.tables?.authorities.orEmpty().filterValues { it.holders.isNotEmpty() }.keys
        return domains.take(domains.indexOf(primary) + 1).toSet() + holders.sorted()
    }

    private fun hasContact(world: World, host: RouterHost, domain: FailureDomainId): Boolean =
        host.heartbeats[domain]?.lastContactAt?.let { world.now - it < CONTACT_TIMEOUT_MILLIS } ?: false

    private fun heartbeat(host: RouterHost, row: HeartbeatRow): Heartbeat =
        Heartbeat(
            router = RouterRow(
                id = host.id,
                session = host.session,
                domain = host.domain,
                baseUrl = "http://${host.id}",
                state = if (host.isDraining) RouterState.DRAINING else RouterState.SERVING,
                inFlight = 0,
            ),
            configuration = host.view.configuration.number,
            routerListVersion = row.routerListVersion,
            reportVersion = row.reportVersion,
        )

    private fun receiveHeartbeatAnswer(world: World, event: HeartbeatAnswered): World {
        val host = runningRouter(world, event.router, event.session) ?: return world
        return when {
            host.isFrozen -> world.schedule(HEARTBEAT_INTERVAL_MILLIS, event)
            else -> applyHeartbeatAnswer(world, host, event)
        }
    }

    private fun applyHeartbeatAnswer(world: World, host: RouterHost, event: HeartbeatAnswered): World {
        val view = updatedView(world, host, event)
        val before = host.view.configuration.number
        val number = view.configuration.number
        val observations = when {
            number < before -> world.observations.withViolation("router ${host.id} went back from $before to $number")
            else -> world.observations
        }
        val changes = if (number == before) emptyList() else listOf(ConfigurationChanged(view.configuration))
        val reports = listOfNotNull(event.answer.reports?.let(::ReportsReceived))
        val contact = ControlContactReceived(LedgerAuthority(event.domain))
        val row = HeartbeatRow(world.now, event.answer.routerListVersion, event.answer.reportVersion)
        val next = host.copy(
            view = view,
            heartbeats = host.heartbeats.put(event.domain, row),
            inbox = host.inbox.addAll(changes + reports + contact),
        )
        return world.copy(routers = world.routers.put(host.id, next), observations = observations)
    }

    private fun updatedView(world: World, host: RouterHost, event: HeartbeatAnswered): RouterView {
        val isFirst = host.view.configuration.number == ConfigurationNumber.NONE
        val isStuck = Defect.STUCK_CONFIGURATION in world.defects && !isFirst
        return if (isStuck) host.view else host.view.withAnswer(event.answer)
    }

    private fun runningRouter(world: World, id: RouterId, session: SessionId): RouterHost? =
        world.routers.getValue(id).takeIf { it.tables != null && it.session == session }

    private fun expireExchange(world: World, reply: Long): World {
        val row = world.pendingExchanges[reply] ?: return world
        val next = world.copy(pendingExchanges = world.pendingExchanges.remove(reply))
        return when (row) {
            is PendingLedgerRequest -> {
                val failure = LedgerRequestFailed(row.request, row.authority, isDelivered = true)
                next.schedule(0, RouterMessageDue(row.router, row.session, failure))
            }
            is PendingForward -> {
                val target = next.replicas.getValue(row.domain).replica
                next.schedule(0, ReplicaMessageDue(target, ForwardAnswered(row.forward, CommandOutcomeUnknown)))
            }
            is PendingHeartbeat, is PendingPublication -> next
        }
    }
}
