/**
 * Counters and latency histograms of a router.
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
import org.ibismoor.runtime.api.createMetrics
import java.time.Duration

internal class RouterMeters(tables: () -> ForwardingTables, droppedLines: () -> Long) {
    private val registry: PrometheusMeterRegistry = createMetrics("router")
    private val durations = registry.timerOf("ibismoor_request_seconds", "Time from a request to the end of its answer")
    private val firstEvents = registry.timerOf("ibismoor_first_event_seconds", "Time from a request to its first event")

    init {
        registry.gaugeOf("ibismoor_requests") { tables().requests.size }
        registry.gaugeOf("ibismoor_configuration_version") { tables().configuration?.version ?: 0 }
        registry.gaugeOf("ibismoor_allowance_held_tokens") { tables().allowances.values.sumOf { it.held } }
        registry.gaugeOf("ibismoor_log_lines_dropped", droppedLines)
        registry.gaugeOf("ibismoor_upstreams") { tables().upstreams.size }
    }

    fun refused(reason: RefusalReason, outcome: Outcome) = count("ibismoor_refusals", reason.code, outcome.text)

    fun rejected(problem: RequestProblem) = count("ibismoor_refusals", problem.code, Outcome.NOT_RUN.text)

    fun decided(decision: Decision) {
        Counter.builder("ibismoor_decisions").tag("kind", decision.kind.name.lowercase()).register(registry).increment()
    }

    fun noticeLost() = Counter.builder("ibismoor_use_notices_lost").register(registry).increment()

    fun ended(nanos: Long) = durations.record(Duration.ofNanos(nanos))

    fun firstEvent(nanos: Long) = firstEvents.record(Duration.ofNanos(nanos))

    fun scrape(): String = registry.scrape()

    private fun count(name: String, reason: String, outcome: String) {
        Counter.builder(name).tag("reason", reason).tag("outcome", outcome).register(registry).increment()
    }
}

private fun PrometheusMeterRegistry.timerOf(name: String, description: String): Timer =
    Timer.builder(name)
        .description(description)
        .withLatencyBuckets()
        .register(this)

private fun PrometheusMeterRegistry.gaugeOf(name: String, value: () -> Number) {
    Gauge.builder(name) { value().toDouble() }.register(this)
}
