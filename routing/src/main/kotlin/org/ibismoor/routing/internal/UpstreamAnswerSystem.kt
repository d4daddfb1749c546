/**
 * Takes in what attempts at upstreams report: progress, whole answers and failures with their retries.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Extend
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.AnswerProgressed
import org.ibismoor.routing.api.AnswerStarted
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.Completion
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamId
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal class UpstreamAnswerSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val leases = Leases(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.forEach(tick.messages) { t, message ->
            when (message) {
                is AnswerStarted -> started(t, message)
                is AnswerProgressed -> progressed(t, message, tick.now)
                is AnswerCompleted -> completed(t, message, tick.now)
                is AttemptFailed -> failed(t, message, tick.now)
                else -> t.step()
            }
        }

    private fun running(tables: RoutingTables, id: StreamId): StreamRow? =
        tables.streams[id]?.takeIf { it.phase == StreamPhase.RUNNING }

    private fun started(tables: RoutingTables, message: AnswerStarted): RoutingStep {
        val row = running(tables, message.stream)?.takeIf { it.upstream == message.upstream }
        return (row?.let { tables.put(it.copy(isStarted = true), limits) } ?: tables).step()
    }

    private fun progressed(tables: RoutingTables, message: AnswerProgressed, now: Timestamp): RoutingStep {
        val row = running(tables, message.stream)?.copy(answerTokens = message.count) ?: return tables.step()
        val lease = row.lease?.takeIf { it.isHeld && it.pending == null && !it.isRerun }
        val amount = lease?.let { settings.reservation.extension(row.work, it.amount, message.count) }
        return if (lease != null && amount != null) {
            leases.send(tables, row, Extend(lease.attempt, row.key, amount), now)
        } else {
            tables.put(row, limits).step()
        }
    }

    private fun completed(tables: RoutingTables, message: AnswerCompleted, now: Timestamp): RoutingStep {
        val row = running(tables, message.stream)?.takeIf { it.upstream == message.upstream } ?: return tables.step()
        val completion = Completion(message.cost, message.status, now)
        val answered = row.copy(phase = StreamPhase.ANSWERED, completion = completion)
        val succeeded = tables.succeeded(message.upstream).changed(row) { settings.concurrency.afterAnswer(it) }
        val learned = learn(succeeded, row, message.cost)
        val waitsForLedger = row.work.isIdempotent && row.lease?.pending != null
        return if (waitsForLedger) learned.put(answered, limits).step() else leases.settle(learned, answered, now)
    }

    private fun learn(tables: RoutingTables, row: StreamRow, cost: Long): RoutingTables {
        val route = row.work.route.id
        val bound = row.work.answerTokenBound.toLong()
        val tokens = if (row.answerTokens > 0) row.answerTokens else cost.coerceAtMost(bound)
        val size = settings.reservation.learn(tables.answerSizes[route], tokens)
        return tables.copy(answerSizes = tables.answerSizes.put(route, size))
    }

    private fun failed(tables: RoutingTables, message: AttemptFailed, now: Timestamp): RoutingStep {
        val row = running(tables, message.stream)?.takeIf { it.upstream == message.upstream } ?: return tables.step()
        val isNotSent = message.failure == AttemptFailure.NOT_SENT
        val ended = row.copy(
            phase = StreamPhase.WAITING,
            failure = message.failure,
            mayHaveRunBefore = row.mayHaveRunBefore || message.failure.mayHaveRun,
            tried = row.tried.add(message.upstream),
            unreachable = if (isNotSent) row.unreachable.add(message.upstream) else row.unreachable,
        )
        val counted = when (message.failure) {
            AttemptFailure.NOT_SENT -> tables.notReached(message.upstream, now)
            AttemptFailure.REFUSED -> tables.changed(row) { settings.concurrency.afterRefusal(it) }.step()
            else -> tables.failed(message.upstream, now)
        }
        return counted.then {
            val left = it.put(ended, limits)
            if (isNotSent) retryElsewhere(left, ended, now) else retry(left, ended, now)
        }
    }

    /**
     * An attempt of which no byte was sent loads no upstream, so it draws nothing from the retry budget and its retry
     * needs no backoff. Each upstream is tried once, which bounds these attempts by the size of the group.
     */
    private fun retryElsewhere(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val hasOther = tables.group(row.work.route.group).members.any {
            it !in row.unreachable && tables.upstreams[it]?.isLeaving == false
        }
        val retryAt = now + UNSENT_RETRY_MILLIS
        return if (hasOther && retryAt < row.work.deadline) {
            tables.put(row.copy(retryAt = retryAt), limits)
                .step(CountEvent(RoutingEvent.RETRY, AttemptFailure.NOT_SENT.code))
        } else {
            tables.fail(settings, row, Failure(RefusalReason.UPSTREAM_FAILED), now)
        }
    }

    private fun retry(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val retries = settings.retry.afterRetry(group.retries, now)
        val sent = row.tried.size - row.unreachable.size
        val retryAt = now + settings.retry.backoffMillis(sent, tables.random)
        val failure = checkNotNull(row.failure)
        val drawn = tables.copy(random = tables.random.advance())
        return when {
            !isSafe(row) || sent >= limits.attempts || retryAt >= row.work.deadline ->
                drawn.fail(settings, row, Failure(reasonOf(failure)), now)
            retries == null -> drawn.fail(settings, row, Failure(RefusalReason.RETRY_BUDGET_EXHAUSTED), now)
            else -> drawn.with(row.work.route.group, group.copy(retries = retries))
                .put(row.copy(retryAt = retryAt), limits)
                .step(CountEvent(RoutingEvent.RETRY, failure.code))
        }
    }

    /** Another attempt can neither run non-idempotent work twice nor mix two answers. */
    private fun isSafe(row: StreamRow): Boolean {
        val failure = checkNotNull(row.failure)
        val isUntouched = !row.isStarted && failure != AttemptFailure.BROKEN_ANSWER
        return !failure.mayHaveRun || (row.work.isIdempotent && isUntouched)
    }

    private companion object {
        /** The next tick, so that connects which fail together eject their upstreams before another is selected. */
        const val UNSENT_RETRY_MILLIS = 1L
    }
}

private fun reasonOf(failure: AttemptFailure): RefusalReason =
    when (failure) {
        AttemptFailure.CROSSED_ANSWER -> RefusalReason.CROSSED_ANSWER
        AttemptFailure.BROKEN_ANSWER -> RefusalReason.INCOMPLETE_ANSWER
        AttemptFailure.TIMEOUT -> RefusalReason.UPSTREAM_TIMEOUT
        else -> RefusalReason.UPSTREAM_FAILED
    }
