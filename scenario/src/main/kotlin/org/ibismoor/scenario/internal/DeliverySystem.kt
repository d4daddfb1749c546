/**
 * Delivers messages of a scenario to its processes, and lets heartbeats and timeouts happen.
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

internal const val BEAT_MILLIS = 1_000L

/** A domain that was not heard for this long is replaced by the next one. */
private const val SILENCE_MILLIS = 2_500L

private const val PLATFORM_MILLIS = 1_000L

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class DeliverySystem {
    fun handle(world: World, event: WorldEvent): World =
        when (event) {
            is ToReplica -> toReplica(world, event)
            is PlatformDue -> readPlatform(world)
            is ToRouter -> toRouter(world, event)
            is BeatDue -> beat(world, event.router, event.session)
            is BeatAnswered -> beatAnswered(world, event)
            is ReplyTimedOut -> timedOut(world, event.reply)
            else -> world
        }

    private fun toReplica(world: World, event: ToReplica): World {
        val host = world.replicas.getValue(event.replica.domain)
        if (host.replica != event.replica || host.tables == null) return world
        val next = host.copy(waiting = host.waiting.add(event.message))
        return world.copy(replicas = world.replicas.put(event.replica.domain, next))
    }

    /** Control processes that are isolated cannot read the list. */
    private fun readPlatform(world: World): World {
        val next = world.after(PLATFORM_MILLIS, PlatformDue)
        val listed = world.leaving.keys.map { world.declared.upstreams.getValue(it).baseUrl }.toSet()
        val readers = world.replicas.values.filter { canReadPlatform(world, it) }
        return readers.fold(next) { state, host ->
            toReplica(state, ToReplica(host.replica, LeavingVmsReceived(listed)))
        }
    }

    private fun canReadPlatform(world: World, host: ReplicaHost): Boolean =
        Defect.UNREAD_PLATFORM !in world.defects && host.replica.domain.text !in world.isolated

    private fun toRouter(world: World, event: ToRouter): World {
        val host = running(world, event.router, event.session) ?: return world
        val next = host.copy(waiting = host.waiting.add(event.message))
        return world.copy(routers = world.routers.put(event.router, next))
    }

    private fun beat(world: World, id: RouterId, session: SessionId): World {
        val host = running(world, id, session) ?: return world
        val next = world.after(BEAT_MILLIS, BeatDue(id, session))
        val targets = if (host.isFrozen) emptySet() else targets(world, host)
        return targets.fold(next) { state, domain -> beatTo(state, host, domain) }
    }

    private fun beatTo(world: World, host: RouterHost, domain: FailureDomainId): World {
        val target = world.replicas.getValue(domain)
        val reply = world.nextNumber
        val message = RouterHeartbeatReceived(reply, heartbeat(host, host.beats[domain] ?: BeatRow()))
        return world.copy(
            nextNumber = reply + 1,
            replies = world.replies.put(reply, BeatReply(host.id, host.session, domain)),
        ).send(host.endpoint, target.endpoint, ToReplica(target.replica, message))
    }

    /** As the router process does: the own domain, the holders of its reservations, and others while it is silent. */
    private fun targets(world: World, host: RouterHost): Set<FailureDomainId> {
        val domains = listOf(host.domain) + (world.replicas.keys - host.domain).sorted()
        val primary = domains.firstOrNull { isHeard(world, host, it) } ?: domains.last()
        val holders = host.tables?.authorities.orEmpty().filterValues { it.holders.isNotEmpty() }.keys
        return domains.take(domains.indexOf(primary) + 1).toSet() + holders.sorted()
    }

    private fun isHeard(world: World, host: RouterHost, domain: FailureDomainId): Boolean =
        host.beats[domain]?.heardAt?.let { world.now - it < SILENCE_MILLIS } ?: false

    private fun heartbeat(host: RouterHost, row: BeatRow): Heartbeat =
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

    private fun beatAnswered(world: World, event: BeatAnswered): World {
        val host = running(world, event.router, event.session) ?: return world
        return if (host.isFrozen) world.after(BEAT_MILLIS, event) else takeAnswer(world, host, event)
    }

    private fun takeAnswer(world: World, host: RouterHost, event: BeatAnswered): World {
        val view = viewAfter(world, host, event)
        val before = host.view.configuration.number
        val number = view.configuration.number
        val observed = when {
            number < before -> world.observed.violated("router ${host.id} went back from $before to $number")
            else -> world.observed
        }
        val changes = if (number == before) emptyList() else listOf(ConfigurationChanged(view.configuration))
        val reports = listOfNotNull(event.answer.reports?.let(::ReportsReceived))
        val heard = ControlContactReceived(LedgerAuthority(event.domain))
        val row = BeatRow(world.now, event.answer.routerListVersion, event.answer.reportVersion)
        val next = host.copy(
            view = view,
            beats = host.beats.put(event.domain, row),
            waiting = host.waiting.addAll(changes + reports + heard),
        )
        return world.copy(routers = world.routers.put(host.id, next), observed = observed)
    }

    private fun viewAfter(world: World, host: RouterHost, event: BeatAnswered): RouterView {
        val isFirst = host.view.configuration.number == ConfigurationNumber.NONE
        val isStuck = Defect.STUCK_CONFIGURATION in world.defects && !isFirst
        return if (isStuck) host.view else host.view.withAnswer(event.answer)
    }

    private fun running(world: World, id: RouterId, session: SessionId): RouterHost? =
        world.routers.getValue(id).takeIf { it.tables != null && it.session == session }

    private fun timedOut(world: World, reply: Long): World {
        val row = world.replies[reply] ?: return world
        val next = world.copy(replies = world.replies.remove(reply))
        return when (row) {
            is LedgerReply -> {
                val failure = LedgerRequestFailed(row.request, row.authority, isDelivered = true)
                next.after(0, ToRouter(row.router, row.session, failure))
            }
            is ForwardReply -> {
                val target = next.replicas.getValue(row.domain).replica
                next.after(0, ToReplica(target, ForwardAnswered(row.forward, CommandOutcomeUnknown)))
            }
            is BeatReply, is PublicationReply -> next
        }
    }
}
