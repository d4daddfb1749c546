/**
 * Keeps the tables of requests, attempts and answers.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Tick
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.AttemptRow
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.RequestEnded
import org.ibismoor.soak.api.RequestRow
import org.ibismoor.soak.api.RequestSent

internal class RequestRecordSystem(private val settings: CheckSettings) : CheckSystem {
    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep =
        CheckStep(tick.messages.fold(tables, ::record))

    private fun record(tables: CheckTables, observation: Observation): CheckTables =
        when (observation) {
            is RequestSent -> recordSent(tables, observation)
            is RequestEnded -> recordEnd(tables, observation)
            is AttemptReceived -> recordReceived(tables, observation)
            is AttemptBegan -> recordBegan(tables, observation)
            is AttemptFinished -> recordFinished(tables, observation)
            else -> tables
        }

    private fun recordSent(tables: CheckTables, sent: RequestSent): CheckTables {
        if (sent.request in tables.requests) return tables
        val row = RequestRow(sent, expiresAt = sent.at + settings.requestRetentionMillis)
        return tables.withExpiringRequest(row)
    }

    private fun recordEnd(tables: CheckTables, end: RequestEnded): CheckTables {
        val row = tables.requests[end.request]?.takeIf { it.end == null } ?: return tables
        val ended = row.copy(end = end, expiresAt = end.at + settings.requestRetentionMillis)
        return tables.withExpiringRequest(ended)
    }

    private fun recordReceived(tables: CheckTables, received: AttemptReceived): CheckTables {
        val request = tables.requests[received.request]
        if (request == null || received.attempt in tables.attempts) return tables
        return tables.withRequest(request.copy(attempts = request.attempts.add(received.attempt)))
            .copy(attempts = tables.attempts.put(received.attempt, AttemptRow(received)))
    }

    private fun recordBegan(tables: CheckTables, began: AttemptBegan): CheckTables {
        val attempt = tables.attempts[began.attempt]?.takeIf { it.began == null } ?: return tables
        val request = tables.requests.getValue(attempt.received.request)
        return tables.withRequest(request.copy(runs = request.runs + 1))
            .copy(attempts = tables.attempts.put(began.attempt, attempt.copy(began = began)))
    }

    private fun recordFinished(tables: CheckTables, finished: AttemptFinished): CheckTables {
        val attempt = tables.attempts[finished.attempt]?.takeIf { it.finished == null } ?: return tables
        val answers = finished.made?.let { tables.answers.put(it.answer, attempt.received.request) }
        return tables.copy(
            attempts = tables.attempts.put(finished.attempt, attempt.copy(finished = finished)),
            answers = answers ?: tables.answers,
        )
    }

    private fun CheckTables.withRequest(row: RequestRow): CheckTables =
        copy(requests = requests.put(row.sent.request, row))

    private fun CheckTables.withExpiringRequest(row: RequestRow): CheckTables {
        val expiries = due.requestExpiries.plus(row.expiresAt, row.sent.request)
        return withRequest(row).copy(due = due.copy(requestExpiries = expiries))
    }
}

/** The request that [observation] has ended; null for a repeated observation, so that it counts once. */
internal fun CheckTables.requestEndedBy(observation: RequestEnded): RequestRow? =
    requests[observation.request]?.takeIf { it.end === observation }

/** The attempt that [observation] begins; null for a repeated observation, so that it counts once. */
internal fun CheckTables.attemptBegunBy(observation: AttemptBegan): AttemptRow? =
    attempts[observation.attempt]?.takeIf { it.began === observation }

internal fun CheckTables.requestRunBy(observation: AttemptBegan): RequestRow? =
    attemptBegunBy(observation)?.let { requests[it.received.request] }

internal fun CheckTables.attemptsOf(request: RequestRow): List<AttemptRow> =
    request.attempts.mapNotNull { attempts[it] }
