/**
 * Checks that the fleet as a whole keeps the retry budget of each service in every window. Repeated arrivals at a
 * service are compared with the requests for it in the same window, the one before, or the one half a window earlier,
 * whichever has most. Windows are sampled in buckets: at the bucket of each retry and at the last window that has it.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.BUCKET_MILLIS
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.RequestSent
import org.ibismoor.soak.api.RetryRow
import org.ibismoor.soak.api.RetryWindow
import org.ibismoor.soak.api.bucketOf

/** Windows for which counts are kept: the one that is checked, the one before it, and one for late observations. */
private const val RETAINED_WINDOWS = 3

internal class RetryBudgetSystem(private val settings: CheckSettings) : CheckSystem {
    private val windowBuckets = settings.retryBudget.windowMillis / BUCKET_MILLIS
    private val retainedBuckets = RETAINED_WINDOWS * windowBuckets

    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val counted = tick.messages.fold(tables, ::count)
        val due = counted.due.retryWindows.take(tick.now)
        val taken = counted.copy(due = counted.due.copy(retryWindows = due.rest))
        return foldSteps(taken, due.entries) { current, entry -> check(current, entry.id, entry.time) }
    }

    private fun count(tables: CheckTables, observation: Observation): CheckTables =
        when (observation) {
            is RequestSent -> observation.services.fold(tables) { current, service ->
                current.withRequest(service, observation.at)
            }
            is AttemptReceived -> countArrival(tables, observation)
            else -> tables
        }

    private fun countArrival(tables: CheckTables, received: AttemptReceived): CheckTables {
        val request = tables.requests[received.request] ?: return tables
        val arrivals = tables.attemptsOf(request).count { it.received.service == received.service }
        return when {
            arrivals > 1 -> tables.withRetry(received.service, received.at).withExercised(Guarantee.RETRY_BUDGET)
            request.sent.services.isEmpty() -> tables.withRequest(received.service, received.at)
            else -> tables
        }
    }

    private fun CheckTables.withRequest(service: String, at: Timestamp): CheckTables {
        val row = retries[service] ?: RetryRow()
        return copy(retries = retries.put(service, row.copy(requests = row.requests.plus(at, retainedBuckets))))
    }

    private fun CheckTables.withRetry(service: String, at: Timestamp): CheckTables {
        val row = retries[service] ?: RetryRow()
        val bucket = bucketOf(at)
        val updated = copy(retries = retries.put(service, row.copy(retries = row.retries.plus(at, retainedBuckets))))
        if (row.retries[bucket] > 0) return updated
        val windows = listOf(RetryWindow(service, bucket), RetryWindow(service, bucket + windowBuckets - 1))
        val queue = windows.fold(due.retryWindows) { queue, window -> queue.plus(checkTime(window), window) }
        return updated.copy(due = due.copy(retryWindows = queue))
    }

    private fun checkTime(window: RetryWindow): Timestamp =
        Timestamp((window.lastBucket + 1) * BUCKET_MILLIS) + settings.observationDelayMillis

    private fun check(tables: CheckTables, window: RetryWindow, at: Timestamp): CheckStep {
        val row = tables.retries.getValue(window.service)
        val last = window.lastBucket
        val retries = row.retries.sum(bucketsUntil(last))
        val requests = listOf(last, last - windowBuckets, last - windowBuckets / 2)
            .maxOf { row.requests.sum(bucketsUntil(it)) }
        val limit = settings.retryBudget.ratio * requests + settings.retryBudget.slack
        // Windows that overlap a reported one mostly show the same retries again.
        val isReported = row.reportedAt?.let { at - it < settings.retryBudget.windowMillis } ?: false
        if (retries <= limit || isReported) return CheckStep(tables)
        val reported = tables.copy(retries = tables.retries.put(window.service, row.copy(reportedAt = at)))
        val details = "${window.service} got $retries repeated arrivals in a window with $requests requests"
        return checked(reported, Guarantee.RETRY_BUDGET, at, request = null, details)
    }

    private fun bucketsUntil(last: Long): LongRange = last - windowBuckets + 1..last
}
