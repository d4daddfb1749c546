/**
 * Callers send one request after the other on a connection that they keep open, and retry as the platform's page says:
 * a promise that the request has not run allows it always, any other failure only for work that may be repeated.
 */
package org.ibismoor.soak.internal.world

import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.platform.api.CallFields
import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.AnswerId
import org.ibismoor.soak.api.CallerLeft
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.internal.FINAL_REFUSAL_STATUSES
import org.ibismoor.soak.internal.NOT_RUN_STATUSES
import org.ibismoor.soak.internal.UNCERTAIN_STATUSES

private const val MAXIMUM_TRIES = 3
private const val THINK_MILLIS = 50L
private const val THINK_SPREAD_MILLIS = 200L
private const val RETRY_MILLIS = 50L
private const val NO_ROUTER_MILLIS = 300L
private const val DEADLINE_MILLIS = 4_000L

/** Pause after a refusal that a retry does not change. */
private const val REFUSED_MILLIS = 1_000L

internal class CallerSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            val work = (message as? WorkDue)?.work
            when {
                message is CallEnded -> endCall(current, message, tick.now)
                work is CallerDue -> send(current, current.callers.getValue(work.caller), tick.now)
                else -> Step(current)
            }
        }

    private fun send(tables: SoakTables, caller: CallerRow, now: Timestamp): SoakStep {
        val addresses = tables.directories.getValue(caller.domain).addresses
        val candidates = addresses.filter { it !in caller.failedAddresses }.ifEmpty { addresses }
        return when {
            tables.phase != SoakPhase.SERVING -> Step(tables)
            candidates.isEmpty() -> Step(tables.at(now + NO_ROUTER_MILLIS, CallerDue(caller.number)))
            else -> sendTo(tables, caller, caller.address?.takeIf { it in addresses }, candidates, now)
        }
    }

    /** Uses the connection to [kept], or opens one to one of [candidates]. */
    private fun sendTo(
        tables: SoakTables,
        caller: CallerRow,
        kept: String?,
        candidates: List<String>,
        now: Timestamp,
    ): SoakStep {
        val requests = caller.requests + 1
        val choice = tables.draw(candidates.size.toLong(), "router", caller.number, requests).toInt()
        val address = kept ?: candidates[choice]
        val call = openCall(tables, caller, requests)
        val next = caller.copy(requests = requests, address = address, open = call)
        val effect = SendCall(
            caller = caller.number,
            request = call.id,
            address = address,
            path = call.route.pathPrefix + call.id.text,
            fields = CallFields(call.id.text, caller.key, DEADLINE_MILLIS, call.prompt),
            patienceMillis = patienceMillis(tables, call),
            isNewConnection = kept == null,
        )
        return Step(tables.withCaller(next), listOf(Observe(requestSent(tables, next, call, now)), effect))
    }

    private fun endCall(tables: SoakTables, message: CallEnded, now: Timestamp): SoakStep {
        val caller = tables.callers.getValue(message.caller)
        val call = caller.open?.takeIf { it.id == message.request } ?: return Step(tables)
        val end = message.end
        val isRetried = isRetried(call, end)
        val failed = caller.address?.takeIf { end.status == null }
        val next = caller.copy(
            open = call.takeIf { isRetried },
            address = caller.address.takeIf { end.isConnectionOpen && !isRetried },
            failedAddresses = if (failed == null) persistentHashSetOf() else caller.failedAddresses.add(failed),
        )
        return Step(
            tables.withCaller(next).at(now + pauseMillis(tables, call, end, isRetried), CallerDue(caller.number)),
            listOf(Observe(observationOf(call, end, now))),
        )
    }

    private fun isRetried(call: OpenCall, end: CallEnd): Boolean {
        val isFailure = end.status in UNCERTAIN_STATUSES || !end.isComplete
        val mayRepeat = end.status in NOT_RUN_STATUSES || call.route.kind.isRetryable && isFailure
        return mayRepeat && !end.isTimedOut && call.tries < MAXIMUM_TRIES
    }

    private fun pauseMillis(tables: SoakTables, call: OpenCall, end: CallEnd, isRetried: Boolean): Long =
        when {
            isRetried -> (end.retryAfterMillis ?: RETRY_MILLIS).coerceAtMost(DEADLINE_MILLIS / MAXIMUM_TRIES)
            end.status in FINAL_REFUSAL_STATUSES -> REFUSED_MILLIS
            else -> THINK_MILLIS + tables.draw(THINK_SPREAD_MILLIS, "think", call.id)
        }

    private fun observationOf(call: OpenCall, end: CallEnd, now: Timestamp): Observation =
        if (end.isTimedOut) {
            CallerLeft(now, call.id, end.events.size.toLong())
        } else {
            AnswerEnded(
                at = now,
                request = call.id,
                status = end.status,
                answer = end.answer?.let(::AnswerId),
                isComplete = end.isComplete,
                bodyDigest = end.bodyDigest,
                events = end.events,
                deliveredTokens = end.events.size.toLong(),
            )
        }
}

private fun SoakTables.withCaller(row: CallerRow): SoakTables = copy(callers = callers.put(row.number, row))

/** Starts all callers, at different moments. */
internal fun startCallers(tables: SoakTables, now: Timestamp): SoakTables =
    tables.callers.keys.fold(tables) { current, caller ->
        current.at(now + tables.draw(THINK_SPREAD_MILLIS, "start", caller), CallerDue(caller))
    }
