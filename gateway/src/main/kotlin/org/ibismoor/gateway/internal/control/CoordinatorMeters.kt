/**
 * Metrics of a control process: counters, gauges and the latency of log syncs.
 */
package org.ibismoor.gateway.internal.control

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.gateway.internal.withLatencyBuckets
import org.ibismoor.runtime.api.MemoryBudget
import org.ibismoor.runtime.api.createMetrics
import org.ibismoor.runtime.api.registerMemory
import java.time.Duration

internal class CoordinatorMeters(tables: () -> CoordinationTables) {
    private val registry: PrometheusMeterRegistry = createMetrics("control")
    private val syncs: Timer = Timer.builder("ibismoor_log_sync_seconds")
        .description("Time to write and sync records of the log")
        .withLatencyBuckets()
        .register(registry)

    init {
        registerGauge("ibismoor_leading") { if (tables().leadingSince == null) 0 else 1 }
        registerGauge("ibismoor_configuration_version") { tables().state.configuration?.version ?: 0 }
        registerGauge("ibismoor_routers") { tables().routers.size }
        registerGauge("ibismoor_stranded_tokens") { tables().state.budgets.values.sumOf { it.ended - it.endedSettled } }
        registerGauge("ibismoor_issued_tokens") { tables().state.budgets.values.sumOf { it.outstanding } }
        registerGauge("ibismoor_logged_spent_tokens") { tables().state.budgets.values.sumOf { it.loggedSpending } }
        registerGauge("ibismoor_voters") { tables().consensus.status().members.count { it.isVoter } }
        registerGauge("ibismoor_evacuated_domains") { tables().state.evacuations.size }
        registerGauge("ibismoor_log_index") { tables().appliedIndex }
        registerGauge("ibismoor_quarantined_parts") { tables().quarantine.quarantines.size }
        registerGauge("ibismoor_quarantined_requests") { tables().requestQuarantine.quarantines.size }
    }

    fun registerMemory(memory: MemoryBudget) = registry.registerMemory(memory)

    fun recordSync(nanos: Long) = syncs.record(Duration.ofNanos(nanos))

    fun countOperatorCall(kind: String, outcome: String) {
        Counter.builder("ibismoor_operator_calls").tag("kind", kind).tag("outcome", outcome).register(registry)
            .increment()
    }

    fun countListFailure() = Counter.builder("ibismoor_upstream_list_failures").register(registry).increment()

    fun countConfigurationSent(bytes: Int) {
        Counter.builder("ibismoor_configurations_sent").register(registry).increment()
        Counter.builder("ibismoor_configuration_sent_bytes").register(registry).increment(bytes.toDouble())
    }

    fun countStorageRefusal() = Counter.builder("ibismoor_storage_refusals").register(registry).increment()

    fun scrape(): String = registry.scrape()

    private fun registerGauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value().toDouble() }.register(registry)
    }
}
