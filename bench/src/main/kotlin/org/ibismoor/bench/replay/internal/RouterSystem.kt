/**
 * Runs the production decision machine of each router and performs its effects on simulated engines and ledgers. Domain
 * ledgers grant every reservation; the ledger of a lost domain is unreachable.
 */
package org.ibismoor.bench.replay.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.DrainFinished
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerRequestFailed
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest

internal typealias RoutingDecisions = TickMachine<RoutingTables, RoutingMessage, RoutingEffect>

// A connection to a lost VM times out; the VM of a lost process refuses it at once.
private const val CONNECT_TIMEOUT_MILLIS = 1_000L
private const val LEDGER_SYNC_MILLIS = 2L
private const val CALLER_RETRY_MILLIS = 200L

internal class RouterSystem(
    private val network: Network,
    private val machines: Map<FailureDomainId, RoutingDecisions>,
    private val callerRetries: Int,
) : TickSystem<ReplayTables, TraceLine, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<TraceLine>): Step<ReplayTables, Nothing> {
        val now = tick.now.millis
        val arrived = tables.routerMessages[now].orEmpty().groupBy({ it.domain }, { it.message })
        val received = tables.copy(routerMessages = tables.routerMessages.remove(now))
        return Step(machines.keys.sorted().fold(received) { t, domain -> runRouter(t, domain, arrived[domain], tick) })
    }

    private fun runRouter(
        tables: ReplayTables,
        domain: FailureDomainId,
        messages: List<RoutingMessage>?,
        tick: Tick<TraceLine>,
    ): ReplayTables {
        val machine = machines.getValue(domain)
        val before = tables.routers.getValue(domain)
        val isDue = machine.nextDue(before)?.let { it <= tick.now } == true
        if (messages == null && !isDue) return tables
        val step = machine.run(before, Tick(tick.now, tick.wallTime, messages.orEmpty()))
        val decided = tables.copy(routers = tables.routers.put(domain, step.tables))
        return step.effects.fold(decided) { t, effect -> perform(t, domain, effect, tick.now.millis) }
    }

    private fun perform(tables: ReplayTables, router: FailureDomainId, effect: RoutingEffect, now: Long): ReplayTables =
        when (effect) {
            is SendLedgerRequest -> answerLedgerRequest(tables, router, effect, now)
            is Dispatch -> sendAttempt(tables, router, effect, now)
            is ReleaseAnswer -> if (isAtRouter(tables, router, effect.stream.value)) {
                tables.endRequest(effect.stream.value, isAnswered = true, now)
            } else {
                tables
            }
            is RefuseRequest -> retryOrEndRequest(tables, router, effect, now)
            is CancelAttempt -> cancelAttempt(tables, effect.stream.value, now)
            is CountEvent, is DrainFinished -> tables
        }

    private fun isAtRouter(tables: ReplayTables, router: FailureDomainId, stream: Long): Boolean =
        tables.requests.getValue(stream).router == router

    private fun answerLedgerRequest(
        tables: ReplayTables,
        router: FailureDomainId,
        effect: SendLedgerRequest,
        now: Long,
    ): ReplayTables {
        val domain = effect.authority.domain
        val trip = network.delay(router, domain)
        return if (domain in tables.lostDomains) {
            val failure = LedgerRequestFailed(effect.request, effect.authority, false)
            tables.schedule(now + trip, RouterMessageDue(router, failure))
        } else {
            val answer = LedgerAnswered(grantedAnswer(effect.request))
            tables.schedule(now + 2 * trip + LEDGER_SYNC_MILLIS, RouterMessageDue(router, answer))
        }
    }

    private fun grantedAnswer(request: LedgerRequest): LedgerAnswer =
        when (request) {
            is Reserve -> Reserved(request.attempt, request.amount)
            is Extend -> Reserved(request.attempt, request.amount)
            is Settle -> Settled(request.attempt, request.amount)
            is Cancel -> Cancelled(request.attempt)
        }

    private fun sendAttempt(tables: ReplayTables, router: FailureDomainId, effect: Dispatch, now: Long): ReplayTables {
        val stream = effect.stream.value
        val engine = tables.engines.getValue(effect.upstream.id)
        val trip = network.delay(router, engine.domain)
        val counted = tables.copy(attempts = tables.attempts + 1)
        if (engine.domain in tables.lostDomains || !engine.isUp) {
            val time = if (engine.domain in tables.lostDomains) CONNECT_TIMEOUT_MILLIS else 2 * trip
            val failure = AttemptFailed(effect.stream, engine.id, AttemptFailure.NOT_SENT)
            return counted.schedule(now + time, RouterMessageDue(router, failure))
        }
        val arrival = tables.requests.getValue(stream).arrival
        val sequence = Sequence(
            stream = stream,
            router = router,
            priority = effect.priority,
            promptTokens = arrival.promptTokens,
            prefix = arrival.prefix,
            answerTokens = arrival.answerTokens,
        )
        return counted.schedule(now + trip, EngineMessageDue(engine.id, stream, sequence))
    }

    private fun cancelAttempt(tables: ReplayTables, stream: Long, now: Long): ReplayTables =
        tables.engines.values.filter { engine -> (engine.running + engine.waiting).any { it.stream == stream } }
            .fold(tables) { t, engine -> t.schedule(now + 1, EngineMessageDue(engine.id, stream, null)) }

    private fun retryOrEndRequest(
        tables: ReplayTables,
        router: FailureDomainId,
        effect: RefuseRequest,
        now: Long,
    ): ReplayTables {
        val stream = effect.stream.value
        val row = tables.requests.getValue(stream)
        val retryAt = now + maxOf(effect.retryAfterMillis ?: 0, CALLER_RETRY_MILLIS)
        val isFinal = row.retries >= callerRetries || retryAt >= row.arrival.at + row.arrival.deadlineMillis
        return when {
            row.router != router || row.endedAt != null -> tables
            isFinal -> tables.endRequest(stream, isAnswered = false, now)
            else -> tables.sendRequest(stream, row.copy(retries = row.retries + 1), retryAt)
        }
    }
}
