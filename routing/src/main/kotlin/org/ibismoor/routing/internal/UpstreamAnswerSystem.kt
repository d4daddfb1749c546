/**
 * Applies the progress, answers and failures of attempts at upstreams, and schedules retries.
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
    private val requests = ReservationRequests(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.foldSteps(tick.messages) { t, message ->
            when (message) {
                is AnswerStarted -> applyStart(t, message)
                is AnswerProgressed -> applyProgress(t, message, tick.now)
                is AnswerCompleted -> applyCompletion(t, message, tick.now)
                is AttemptFailed -> applyFailure(t, message, tick.now)
                else -> t.step()
            }
        }

    private fun runningStream(tables: RoutingTables, id: StreamId): StreamRow? =
        tables.streams[id]?.takeIf { it.phase == StreamPhase.RUNNING }

    private fun applyStart(tables: RoutingTables, message: AnswerStarted): RoutingStep {
        val row = runningStream(tables, message.stream)?.takeIf { it.upstream == message.upstream }
        return (row?.let { tables.putStream(it.copy(isAnswerStarted = true), limits) } ?: tables).step()
    }

    private fun applyProgress(tables: RoutingTables, message: AnswerProgressed, now: Timestamp): RoutingStep {
        val row = runningStream(tables, message.stream)?.copy(answerTokens = message.answerTokens)
            ?: return tables.step()
        val reservation = row.reservation?.takeIf { it.isHeld && it.pending == null && !it.isRerun }
        val amount = reservation?.let { settings.reservation.extension(row.work, it.amount, message.answerTokens) }
        return if (reservation != null && amount != null) {
            requests.sendRequest(tables, row, Extend(reservation.attempt, row.key, amount), now)
        } else {
            tables.putStream(row, limits).step()
        }
    }

    private fun applyCompletion(tables: RoutingTables, message: AnswerCompleted, now: Timestamp): RoutingStep {
        val row = runningStream(tables, message.stream)?.takeIf { it.upstream == message.upstream }
            ?: return tables.step()
        val completion = Completion(message.cost, message.status, now)
        val answeredRow = row.copy(phase = StreamPhase.ANSWERED, completion = completion)
        val withSuccess = tables.recordSuccess(message.upstream, now)
            .updateGroup(row) { settings.concurrency.applyAnswer(it) }
        val withAnswerSize = updateAnswerSize(withSuccess, row, message.cost)
        val waitsForLedger = row.work.isIdempotent && row.reservation?.pending != null
        return if (waitsForLedger) {
            withAnswerSize.putStream(answeredRow, limits).step()
        } else {
            requests.settle(withAnswerSize, answeredRow, now)
        }
    }

    private fun updateAnswerSize(tables: RoutingTables, row: StreamRow, cost: Long): RoutingTables {
        val route = row.work.route.id
        val bound = row.work.answerTokenBound.toLong()
        val tokens = if (row.answerTokens > 0) row.answerTokens else cost.coerceAtMost(bound)
        val size = settings.reservation.updateAnswerSize(tables.answerSizes[route], tokens)
        return tables.copy(answerSizes = tables.answerSizes.put(route, size))
    }

    private fun applyFailure(tables: RoutingTables, message: AttemptFailed, now: Timestamp): RoutingStep {
        val row = runningStream(tables, message.stream)?.takeIf { it.upstream == message.upstream }
            ?: return tables.step()
        val unreachable = row.unreachableUpstreams
        val isNotSent = message.failure == AttemptFailure.NOT_SENT
        val waitingRow = row.copy(
            phase = StreamPhase.WAITING,
            failure = message.failure,
            mayHaveRunBefore = row.mayHaveRunBefore || message.failure.mayHaveRun,
            failedUpstreams = row.failedUpstreams.add(message.upstream),
            unreachableUpstreams = if (isNotSent) unreachable.add(message.upstream) else unreachable,
        )
        val failureStep = when (message.failure) {
            AttemptFailure.NOT_SENT -> tables.recordConnectFailure(message.upstream, now)
            AttemptFailure.REFUSED -> tables.recordRefusal(message.upstream, now)
                .updateGroup(row) { settings.concurrency.applyRefusal(it) }.step()
            else -> tables.recordFailure(message.upstream, now)
        }
        return failureStep.then {
            val next = it.putStream(waitingRow, limits)
            if (isNotSent) retryElsewhere(next, waitingRow, now) else scheduleRetry(next, waitingRow, now)
        }
    }

    /**
     * An attempt of which no byte was sent puts no load on an upstream, so it costs no retry budget and is retried
     * without backoff. Each upstream is tried once, so the size of the group limits these attempts.
     */
    private fun retryElsewhere(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val hasOther = tables.group(row.work.route.group).members.any {
            it !in row.unreachableUpstreams && tables.upstreams[it]?.isLeaving == false
        }
        val retryAt = now + UNSENT_RETRY_MILLIS
        return if (hasOther && retryAt < row.work.deadline) {
            tables.putStream(row.copy(retryAt = retryAt), limits)
                .step(CountEvent(RoutingEvent.RETRY, AttemptFailure.NOT_SENT.code))
        } else {
            tables.failStream(settings, row, Failure(RefusalReason.UPSTREAM_FAILED), now)
        }
    }

    private fun scheduleRetry(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val retryBudget = settings.retry.debitRetry(group.retryBudget, now)
        val sentAttempts = row.failedUpstreams.size - row.unreachableUpstreams.size
        val retryAt = now + settings.retry.backoffMillis(sentAttempts, tables.random)
        val failure = checkNotNull(row.failure)
        val withNextRandom = tables.copy(random = tables.random.advance())
        return when {
            !isRetrySafe(row) || sentAttempts >= limits.maxAttempts || retryAt >= row.work.deadline ->
                withNextRandom.failStream(settings, row, Failure(reasonOf(failure)), now)
            retryBudget == null ->
                withNextRandom.failStream(settings, row, Failure(RefusalReason.RETRY_BUDGET_EXHAUSTED), now)
            else -> withNextRandom.withGroup(row.work.route.group, group.copy(retryBudget = retryBudget))
                .putStream(row.copy(retryAt = retryAt), limits)
                .step(CountEvent(RoutingEvent.RETRY, failure.code))
        }
    }

    /** True if another attempt can neither run non-idempotent work twice nor mix two answers. */
    private fun isRetrySafe(row: StreamRow): Boolean {
        val failure = checkNotNull(row.failure)
        val isUnanswered = !row.isAnswerStarted && failure != AttemptFailure.BROKEN_ANSWER
        return !failure.mayHaveRun || (row.work.isIdempotent && isUnanswered)
    }

    private companion object {
        /** Delays the retry to the next tick, so that simultaneous connection failures first eject their upstreams. */
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
