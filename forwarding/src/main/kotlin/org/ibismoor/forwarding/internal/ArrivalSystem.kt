/**
 * Takes requests in: finds the route, checks the key, and reserves tokens. A request that is refused here has not run.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.RouteRow

internal class ArrivalSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages.filterIsInstance<RequestArrived>()) { table, message ->
            take(table.copy(fleet = table.fleet.copy(arrived = table.fleet.arrived + 1)), message, tick.now)
        }

    private fun take(tables: ForwardingTables, message: RequestArrived, now: Timestamp): ForwardingStep {
        val head = message.head
        val configuration = tables.configuration
        val route = configuration?.routeOf(head.host, head.path)
        val organisation = configuration?.let { head.key?.let(it.keys::get) }
        val isKeyNeeded = configuration != null && configuration.organisations.isNotEmpty() && route?.isPublic == false
        return when {
            configuration == null || tables.fleet.upstreamRevision == 0L ->
                refuse(tables, message, RefusalReason.NOT_READY)
            route == null -> refuse(tables, message, RefusalReason.UNKNOWN_ROUTE)
            isKeyNeeded && organisation == null -> refuse(tables, message, RefusalReason.UNAUTHENTICATED)
            else -> accept(tables, message, Admission(configuration, route, organisation), now)
        }
    }

    private fun refuse(tables: ForwardingTables, message: RequestArrived, reason: RefusalReason): ForwardingStep {
        val retryAfter = settings.times.startMillis.takeIf { reason == RefusalReason.NOT_READY }
        return ForwardingStep(
            tables,
            listOf(
                RefuseRequest(message.number, reason, Outcome.NOT_RUN, retryAfter),
                decided(
                    DecisionKind.REQUEST_REFUSED,
                    message.head.callId,
                    "reason" to reason.code,
                    "version" to tables.configuration?.version,
                    "upstream_revision" to tables.fleet.upstreamRevision,
                ),
            ),
        )
    }

    private fun accept(
        tables: ForwardingTables,
        message: RequestArrived,
        admission: Admission,
        now: Timestamp,
    ): ForwardingStep {
        val route = admission.route
        val organisation = admission.configuration.organisations[admission.organisation]
        val patience = message.head.deadlineMillis?.minus(settings.times.answerMarginMillis) ?: Long.MAX_VALUE
        val group = chooseTarget(route, tables.random)
        val request = RequestRow(
            number = message.number,
            head = message.head,
            route = route,
            group = group,
            organisation = organisation?.id,
            priority = organisation?.priority ?: route.priority,
            arrivedAt = now,
            dueAt = now + minOf(patience, route.timeoutMillis).coerceAtLeast(0),
            phase = AwaitingUpstream,
        )
        val drawn = tables.copy(random = tables.random.advance(), retries = tables.retries.counting(group, now))
        val cost = request.head.prompt?.maximumCost ?: 0
        val isLimited = organisation?.budget != null && cost > 0
        return if (isLimited) reserve(drawn, request, cost, now) else ForwardingStep(drawn.waitingFor(request))
    }

    private fun reserve(tables: ForwardingTables, request: RequestRow, cost: Long, now: Timestamp): ForwardingStep {
        val reserved = tables.reserving(request, cost)
        return ForwardingStep(reserved ?: tables.lacking(request, now, tables.allowancePatience(now, settings)))
    }

    /** What was found out about a request before it is accepted. */
    private class Admission(
        val configuration: ForwardingConfiguration,
        val route: RouteRow,
        val organisation: OrganisationId?,
    )
}

private fun chooseTarget(route: RouteRow, random: SeededRandom): UpstreamGroupId {
    val total = route.targets.sumOf { it.weight }
    var drawn = random.below(total)
    return route.targets.first { target ->
        drawn -= target.weight
        drawn < 0
    }.group
}
