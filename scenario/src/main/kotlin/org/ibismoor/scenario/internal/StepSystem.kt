/**
 * Applies the steps of a scenario to the tables of the running scenario.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.fleet.api.PublicationReceived
import org.ibismoor.fleet.api.ShutdownRequested
import org.ibismoor.routing.api.DrainRequested
import org.ibismoor.scenario.api.CallStep
import org.ibismoor.scenario.api.ControlStep
import org.ibismoor.scenario.api.CutStep
import org.ibismoor.scenario.api.HealStep
import org.ibismoor.scenario.api.IsolateStep
import org.ibismoor.scenario.api.LeaveStep
import org.ibismoor.scenario.api.NetworkStep
import org.ibismoor.scenario.api.ProcessAction
import org.ibismoor.scenario.api.PublishStep
import org.ibismoor.scenario.api.RouterStep
import org.ibismoor.scenario.api.ScenarioStep
import org.ibismoor.scenario.api.TopUpStep
import org.ibismoor.scenario.api.TraceKind

/** An operator who received no answer resends the same publication after this time. */
private const val PUBLICATION_RESEND_MILLIS = 3_000L

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class StepSystem(private val processFactory: ProcessFactory) {
    fun handle(world: World, event: WorldEvent): World =
        when (event) {
            is StepDue -> perform(world.withTraceLine(traceKind(event.step), event.step.toString()), event.step)
            is PublicationAttemptDue -> sendPublication(world, event)
            else -> world
        }

    private fun traceKind(step: ScenarioStep): TraceKind = if (step is CallStep) TraceKind.CALL else TraceKind.FAULT

    private fun perform(world: World, step: ScenarioStep): World =
        when (step) {
            is PublishStep -> publish(world, step)
            is TopUpStep -> topUp(world, step)
            is CallStep -> startCall(world, step)
            is CutStep -> world.copy(cutLinks = world.cutLinks.add(Link(step.from, step.to)))
            is HealStep -> world.copy(cutLinks = persistentHashSetOf(), isolatedVms = persistentHashSetOf())
            is NetworkStep -> world.copy(network = step.settings)
            is IsolateStep -> world.copy(isolatedVms = world.isolatedVms.add(step.process))
            is LeaveStep -> world.copy(leavingSince = world.leavingSince.put(step.upstream, world.now))
            is ControlStep -> applyControlStep(world, step)
            is RouterStep -> applyRouterStep(world, step)
        }

    private fun startCall(world: World, step: CallStep): World {
        val id = world.nextNumber
        return world.copy(nextNumber = id + 1, calls = world.calls.put(id, CallRow(step.call, step.domain)))
            .schedule(0, CallAttemptDue(id))
    }

    private fun topUp(world: World, step: TopUpStep): World {
        val configuration = world.declaredConfiguration
        val budget = configuration.budgets.getValue(step.budget)
        val grown = budget.copy(grants = budget.grants.put(step.grant, step.tokens))
        val declared = configuration.copy(budgets = configuration.budgets.put(step.budget, grown))
        return publish(world.copy(declaredConfiguration = declared), PublishStep(step.domain))
    }

    private fun publish(world: World, step: PublishStep): World {
        val current = world.declaredConfiguration.number
        val number = step.number?.let(::ConfigurationNumber) ?: ConfigurationNumber(current.value + 1)
        val declared = world.declaredConfiguration.copy(number = maxOf(number, current))
        val content = step.marker?.let { withOrganisation(declared, it) } ?: declared
        val id = world.nextNumber
        val row = PublicationRow(content.copy(number = number), "digest-$number-${step.marker.orEmpty()}")
        return world.copy(
            nextNumber = id + 1,
            declaredConfiguration = declared,
            publications = world.publications.put(id, row),
        ).schedule(0, PublicationAttemptDue(id, step.domain))
    }

    private fun withOrganisation(declared: ConfigurationTables, marker: String): ConfigurationTables {
        val id = OrganisationId(marker)
        return declared.copy(organisations = declared.organisations.put(id, Organisation(id)))
    }

    private fun sendPublication(world: World, event: PublicationAttemptDue): World {
        val row = world.publications.getValue(event.publication)
        if (row.isAnswered || row.reply != event.previousReply) return world
        val reply = world.nextNumber
        val message = PublicationReceived(reply, row.configuration, row.digest)
        val target = world.replicas.getValue(event.domain).replica
        return world.copy(
            nextNumber = reply + 1,
            pendingExchanges = world.pendingExchanges.put(reply, PendingPublication(event.publication)),
            publications = world.publications.put(event.publication, row.copy(reply = reply)),
        ).schedule(1, ReplicaMessageDue(target, message))
            .schedule(PUBLICATION_RESEND_MILLIS, event.copy(previousReply = reply))
    }

    private fun applyControlStep(world: World, step: ControlStep): World {
        val host = world.replicas.getValue(step.domain)
        return when (step.action) {
            ProcessAction.KILL -> replaceHost(world, host.copy(tables = null, inbox = persistentListOf()))
            ProcessAction.START ->
                if (host.tables == null) replaceHost(world, processFactory.startReplica(host, world.now)) else world
            ProcessAction.LOSE_DISK -> loseDisk(world, step.domain)
            ProcessAction.TEAR_WRITE, ProcessAction.FILL_DISK -> replaceHost(world, host.copy(diskFault = step.action))
            ProcessAction.FREEZE -> replaceHost(world, host.copy(isFrozen = true))
            ProcessAction.THAW -> replaceHost(world, host.copy(isFrozen = false))
            ProcessAction.DRAIN -> replaceHost(world, host.copy(inbox = host.inbox.add(ShutdownRequested)))
        }
    }

    private fun replaceHost(world: World, host: ReplicaHost): World =
        world.copy(replicas = world.replicas.put(host.replica.domain, host))

    /** The replacement starts with an empty disk at once; the operator declares its epoch with the next publication. */
    private fun loseDisk(world: World, domain: FailureDomainId): World {
        val old = world.replicas.getValue(domain).replica
        val new = ReplicaId(domain, old.epoch + 1)
        val empty = ReplicaHost(new, null, persistentListOf(), clock = world.replicas.getValue(domain).clock)
        val members = world.declaredConfiguration.controlMembers.remove(old).put(new, ControlMember(new, "http://$new"))
        return replaceHost(world, processFactory.startReplica(empty, world.now)).copy(
            declaredConfiguration = world.declaredConfiguration.copy(controlMembers = members),
            lostCharges = world.lostCharges.addAll(world.replicas.getValue(domain).charges),
        )
    }

    private fun applyRouterStep(world: World, step: RouterStep): World {
        val host = world.routers.values.first { it.domain == step.domain && it.number == step.number }
        if (step.action == ProcessAction.START && host.tables != null) return world
        val next = when (step.action) {
            ProcessAction.KILL, ProcessAction.LOSE_DISK, ProcessAction.TEAR_WRITE, ProcessAction.FILL_DISK ->
                host.copy(tables = null, inbox = persistentListOf())
            ProcessAction.START -> processFactory.startRouter(host, world.now)
            ProcessAction.FREEZE -> host.copy(isFrozen = true)
            ProcessAction.THAW -> host.copy(isFrozen = false)
            ProcessAction.DRAIN -> host.copy(isDraining = true, inbox = host.inbox.add(DrainRequested))
        }
        val updated = world.copy(routers = world.routers.put(host.id, next))
        return when (step.action) {
            ProcessAction.START -> updated.schedule(0, HeartbeatDue(host.id, next.session))
            ProcessAction.KILL -> dropStreams(updated, host)
            else -> updated
        }
    }

    /** The callers of a killed router see a closed connection and retry. */
    private fun dropStreams(world: World, host: RouterHost): World =
        world.streams.filterValues { it.router == host.id && it.session == host.session }.toSortedMap()
            .entries.fold(world) { state, (stream, row) -> dropStream(state, stream, row) }

    private fun dropStream(world: World, stream: Long, row: StreamRow): World {
        val call = world.calls.getValue(row.call)
        if (call.stream != stream) return world
        return world.copy(calls = world.calls.put(row.call, call.copy(stream = null)))
            .schedule(1, CallAttemptDue(row.call))
    }
}
