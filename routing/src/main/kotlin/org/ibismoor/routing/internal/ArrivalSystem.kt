/**
 * Admits requests of callers: authentication, limits and route, then the queue. Disconnects are handled after the
 * arrivals of the same tick.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal class ArrivalSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val authentication = Authentication()

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables
            .foldSteps(tick.messages.filterIsInstance<RequestArrived>()) { t, message ->
                handleArrival(t, message, tick.now)
            }
            .then { t ->
                t.foldSteps(tick.messages.filterIsInstance<CallerDisconnected>()) { s, message ->
                    handleDisconnect(s, message, tick.now)
                }
            }

    private fun handleArrival(tables: RoutingTables, message: RequestArrived, now: Timestamp): RoutingStep {
        if (message.stream in tables.streams) return tables.step()
        val admission = admit(tables, message.request, now)
        return when (admission) {
            is Rejected -> refuse(admission.tables ?: tables, message, admission)
            is Accepted -> enqueue(admission.tables, message, admission)
        }
    }

    private fun admit(tables: RoutingTables, request: RoutedRequest, now: Timestamp): Admission {
        val refuseFrom = tables.drain?.refuseFrom
        return when {
            refuseFrom != null && now >= refuseFrom -> Rejected(RefusalReason.DRAINING)
            tables.configuration.number.value == 0L -> Rejected(RefusalReason.NOT_READY, RETRY_AFTER_MILLIS)
            else -> authentication.check(tables, request, now).let { checkLimits(it) }
        }
    }

    private fun checkLimits(admission: Admission): Admission {
        val accepted = admission as? Accepted ?: return admission
        val tables = accepted.tables
        val group = tables.group(accepted.work.route.group)
        return when {
            group.members.isEmpty() ->
                Rejected(RefusalReason.NO_UPSTREAM, RETRY_AFTER_MILLIS, accepted.key, tables)
            tables.queuedCount >= settings.limits.queueLength ->
                Rejected(RefusalReason.QUEUE_FULL, RETRY_AFTER_MILLIS, accepted.key, tables)
            else -> accepted
        }
    }

    private fun refuse(tables: RoutingTables, message: RequestArrived, rejected: Rejected): RoutingStep {
        val isCertainlyNew = message.request.idempotencyKey == null || rejected.reason == RefusalReason.UNAUTHENTICATED
        return tables.step(
            RefuseRequest(
                stream = message.stream,
                key = rejected.key,
                reason = rejected.reason,
                outcome = if (isCertainlyNew) Outcome.NOT_RUN else Outcome.MAY_HAVE_RUN,
                retryAfterMillis = rejected.retryAfterMillis,
            ),
            CountEvent(RoutingEvent.REFUSAL, rejected.reason.code),
        )
    }

    private fun enqueue(tables: RoutingTables, message: RequestArrived, accepted: Accepted): RoutingStep {
        val row = StreamRow(
            id = message.stream,
            key = accepted.key,
            work = accepted.work,
            phase = StreamPhase.QUEUED,
            mayHaveRunBefore = message.request.idempotencyKey != null,
        )
        val id = accepted.work.route.group
        val group = tables.group(id)
        return tables.putStream(row, settings.limits)
            .withGroup(id, group.copy(queue = settings.queue.enqueue(group.queue, queueEntry(row))))
            .let { it.copy(queuedCount = it.queuedCount + 1) }
            .markForAdmission(id)
            .step()
    }

    /** A complete answer is still charged, and delivered if the connection allows it. */
    private fun handleDisconnect(tables: RoutingTables, message: CallerDisconnected, now: Timestamp): RoutingStep {
        val row = tables.streams[message.stream]?.takeIf { it.phase != StreamPhase.ANSWERED }
        return if (row == null) {
            tables.step()
        } else {
            tables.failStream(settings, row, Failure(RefusalReason.CANCELLED), now)
                .then { it.step(CountEvent(RoutingEvent.CANCELLATION, row.phase.name.lowercase())) }
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
