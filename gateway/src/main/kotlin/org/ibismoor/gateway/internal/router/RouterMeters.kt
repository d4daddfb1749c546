/**
 * Metrics of a router: counters, gauges and latency histograms.
 */
package org.ibismoor.gateway.internal.router

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.Decision
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.gateway.internal.withLatencyBuckets
import org.ibismoor.runtime.api.MemoryBudget
import org.ibismoor.runtime.api.createMetrics
import org.ibismoor.runtime.api.registerMemory
import java.time.Duration

@Suppress("TooManyFunctions") // one function for each metric
internal class RouterMeters(tables: () -> ForwardingTables, droppedLines: () -> Long) {
    private val registry: PrometheusMeterRegistry = createMetrics("router")
    private val durations =
        registry.registerTimer("ibismoor_request_seconds", "Time from a request to the end of its answer")
    private val firstEvents =
        registry.registerTimer("ibismoor_first_event_seconds", "Time from a request to its first event")

    init {
        registry.registerGauge("ibismoor_requests") { tables().requests.size }
        registry.registerGauge("ibismoor_queued_requests") { tables().admission.queued.size }
        registry.registerGauge("ibismoor_configuration_version") { tables().configuration?.version ?: 0 }
        registry.registerGauge("ibismoor_allowance_held_tokens") { tables().allowances.values.sumOf { it.held } }
        registry.registerGauge("ibismoor_log_lines_dropped", droppedLines)
        registry.registerGauge("ibismoor_upstreams") { tables().upstreams.size }
        registry.registerGauge("ibismoor_upstreams_leaving") { tables().upstreams.values.count { it.isLeaving } }
        registry.registerGauge("ibismoor_upstreams_paused") {
            tables().upstreams.values.count { it.availability.pausedUntil != null }
        }
        registry.registerGauge("ibismoor_evacuated_domains") { tables().fleet.evacuations?.domains.orEmpty().size }
        registry.registerGauge("ibismoor_upstreams_paced") {
            tables().upstreams.values.count { it.pace?.ramp != null }
        }
        registry.registerGauge("ibismoor_quarantined_parts") { tables().prompts.quarantines.size }
        registry.registerGauge("ibismoor_room_requests_per_second") { tables().placement.room ?: 0 }
        registry.registerGauge("ibismoor_quarantined_requests") { tables().crashedRequests.quarantines.size }
    }

    fun registerMemory(memory: MemoryBudget) = registry.registerMemory(memory)

    fun countRefusal(reason: RefusalReason, outcome: Outcome) = countRefusal(reason.code, outcome.text)

    fun countRejection(problem: RequestProblem) = countRefusal(problem.code, Outcome.NOT_RUN.text)

    fun countDecision(decision: Decision) {
        Counter.builder("ibismoor_decisions").tag("kind", decision.kind.name.lowercase()).register(registry).increment()
    }

    fun countMalformedPause() =
        Counter.builder("ibismoor_upstream_pauses_malformed").register(registry).increment()

    fun countCut(cause: CutCause) {
        Counter.builder("ibismoor_cut_answers").tag("cause", cause.text).register(registry).increment()
    }

    fun countLostNotice() = Counter.builder("ibismoor_use_notices_lost").register(registry).increment()

    fun countMovedCaller() = Counter.builder("ibismoor_moved_callers").register(registry).increment()

    fun recordDuration(nanos: Long) = durations.record(Duration.ofNanos(nanos))

    fun recordFirstEvent(nanos: Long) = firstEvents.record(Duration.ofNanos(nanos))

    fun scrape(): String = registry.scrape()

    private fun countRefusal(reason: String, outcome: String) {
        Counter.builder("ibismoor_refusals").tag("reason", reason).tag("outcome", outcome).register(registry)
            .increment()
    }
}

private fun PrometheusMeterRegistry.registerTimer(name: String, description: String): Timer =
    Timer.builder(name)
        .description(description)
        .withLatencyBuckets()
        .register(this)

private fun PrometheusMeterRegistry.registerGauge(name: String, value: () -> Number) {
    Gauge.builder(name) { value().toDouble() }.register(this)
}
