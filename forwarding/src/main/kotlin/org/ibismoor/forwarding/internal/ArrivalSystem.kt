/**
 * Admits requests: finds the route, checks the API key and reserves tokens. A request that is refused here has not run.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.Decision
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.RefuseRequest
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.RequestHead
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.RouteRow

internal class ArrivalSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages.filterIsInstance<RequestArrived>()) { table, message ->
            val fleet = table.fleet.copy(requestsSinceReport = table.fleet.requestsSinceReport + 1)
            admitRequest(table.copy(fleet = fleet), message, tick.now)
        }

    private fun admitRequest(tables: ForwardingTables, message: RequestArrived, now: Timestamp): ForwardingStep {
        val head = message.head
        val configuration = tables.configuration
        val route = configuration?.routeOf(head.host, head.path)
        val organisation = configuration?.let { head.key?.let(it.keys::get) }
        val isKeyRequired =
            configuration != null && configuration.organisations.isNotEmpty() && route?.isPublic == false
        return when {
            configuration == null || tables.fleet.upstreamRevision == 0L ->
                refuse(tables, message, RefusalReason.NOT_READY, now)
            route == null -> refuse(tables, message, unlessOutdated(RefusalReason.UNKNOWN_ROUTE, tables, now), now)
            isKeyRequired && organisation == null ->
                refuse(tables, message, unlessOutdated(RefusalReason.UNAUTHENTICATED, tables, now), now)
            tables.endsBefore(now + waitMillis(head, route)) ->
                refuse(tables, message, RefusalReason.DRAINING, now)
            else -> acceptRequest(tables, message, Admission(configuration, route, organisation), now)
        }
    }

    /** True in a drain if the process may exit before [dueAt], when it would cut the request off. */
    private fun ForwardingTables.endsBefore(dueAt: Timestamp): Boolean {
        val startedAt = drainStartedAt ?: return false
        return dueAt > startedAt + settings.times.maximumDrainMillis
    }

    /** How long the caller and the route let the request wait for its answer, in milliseconds. */
    private fun waitMillis(head: RequestHead, route: RouteRow): Long {
        val callerWaitMillis = head.deadlineMillis?.minus(settings.times.answerMarginMillis) ?: Long.MAX_VALUE
        return minOf(callerWaitMillis, route.timeoutMillis).coerceAtLeast(0)
    }

    /** The [reason], unless a configuration that this router lacks may allow the request: callers do not retry then. */
    private fun unlessOutdated(reason: RefusalReason, tables: ForwardingTables, now: Timestamp): RefusalReason {
        val isCurrent = tables.isConfigurationCurrent(now, settings.times.maximumConfigurationAgeMillis)
        return if (isCurrent) reason else RefusalReason.CONFIGURATION_OUTDATED
    }

    private fun retryAfterMillis(reason: RefusalReason): Long? =
        when (reason) {
            RefusalReason.NOT_READY -> settings.times.startRetryAfterMillis
            RefusalReason.CONFIGURATION_OUTDATED -> settings.times.retryAfterMillis
            RefusalReason.DRAINING -> settings.times.otherRouterRetryAfterMillis
            else -> null
        }

    private fun refuse(
        tables: ForwardingTables,
        message: RequestArrived,
        reason: RefusalReason,
        now: Timestamp,
    ): ForwardingStep {
        val facts = listOf(
            Fact("reason", reason.code),
            Fact("upstream_revision", tables.fleet.upstreamRevision),
        )
        val decision = Decision(
            DecisionKind.REQUEST_REFUSED,
            message.head.callId,
            facts + configurationFacts(tables, now),
        )
        val refusal = RefuseRequest(message.number, reason, Outcome.NOT_RUN, retryAfterMillis(reason))
        return ForwardingStep(tables, listOf(refusal, LogDecision(decision)))
    }

    private fun acceptRequest(
        tables: ForwardingTables,
        message: RequestArrived,
        admission: Admission,
        now: Timestamp,
    ): ForwardingStep {
        val route = admission.route
        val organisation = admission.configuration.organisations[admission.organisation]
        val group = chooseTarget(route, tables.random)
        val request = RequestRow(
            number = message.number,
            head = message.head,
            route = route,
            group = group,
            organisation = organisation?.id,
            organisationRegions = organisation?.allowedRegions ?: persistentHashSetOf(),
            priority = organisation?.priority ?: route.priority,
            arrivedAt = now,
            dueAt = now + waitMillis(message.head, route),
            phase = AwaitingUpstream,
        )
        val next = tables.copy(
            random = tables.random.advance(),
            retries = tables.retries.withRequestCounted(group, now),
        )
        val isContinuation = route.kind.isStream && message.head.continuation != null
        val placeRefusal = next.placeRefusal(request, settings)
        return when {
            placeRefusal != null -> refusePlace(next, request, placeRefusal, settings, now)
            isContinuation -> continueStream(next, request, now)
            else -> admitResolved(next, request, settings, now)
        }
    }

    private fun continueStream(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val origin = request.continuedStream?.let(tables.streams.origins::get)
        return when (origin) {
            null -> ForwardingStep(tables.withAwaitedOrigin(request, now, settings))
            else -> tables.withResolved(request, origin, "own", settings, now)
        }
    }

    /** Configuration, route and organisation under which a request is accepted. */
    private class Admission(
        val configuration: ForwardingConfiguration,
        val route: RouteRow,
        val organisation: OrganisationId?,
    )
}

private fun chooseTarget(route: RouteRow, random: SeededRandom): UpstreamGroupId {
    val total = route.targets.sumOf { it.weight }
    var remaining = random.below(total)
    return route.targets.first { target ->
        remaining -= target.weight
        remaining < 0
    }.group
}

/** Reserves the tokens of [request], which may then be sent. */
internal fun admitResolved(
    tables: ForwardingTables,
    request: RequestRow,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val cost = request.head.prompt?.maximumCost ?: 0
    val isLimited = tables.configuration?.organisations?.get(request.organisation)?.budget != null && cost > 0
    val resolved = request.copy(phase = AwaitingUpstream)
    val next = when {
        !isLimited -> tables.withWaiting(resolved)
        else -> tables.withReservation(resolved, cost)
            ?: tables.withShortfall(resolved, now, tables.allowanceWaitLimit(now, settings))
    }
    return ForwardingStep(next)
}
