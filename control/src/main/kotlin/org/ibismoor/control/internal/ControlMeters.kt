/**
 * Metrics of a control process.
 */
package org.ibismoor.control.internal

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.ibismoor.consensus.api.status
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.Refused

internal class ControlMeters(private val registry: MeterRegistry) {
    /** Duration of one log write, including the sync. */
    val syncTimer: Timer = registry.timer("ibismoor_control_sync")

    fun countLedgerAnswers(answers: List<LedgerAnswer>) {
        answers.forEach { answer ->
            val reason = (answer as? Refused)?.reason?.code ?: "none"
            registry.counter("ibismoor_control_ledger_answers", "reason", reason).increment()
        }
    }

    fun countDroppedMessages(count: Int) {
        registry.counter("ibismoor_control_messages_dropped").increment(count.toDouble())
    }

    fun countPublication(result: String) {
        registry.counter("ibismoor_control_publications", "result", result).increment()
    }

    fun countPollFailure(target: String) {
        registry.counter("ibismoor_control_poll_failures", "target", target).increment()
    }

    /** Registers the gauges, which read [port], [folder] and [exchanges] whenever the metrics are collected. */
    fun registerGauges(port: ControlPort, folder: DataFolder, exchanges: PendingExchanges) {
        gauge("ibismoor_control_is_leading") { if (port.tables.isLeading) 1.0 else 0.0 }
        gauge("ibismoor_control_has_quorum") { if (port.tables.consensus.status().hasQuorum) 1.0 else 0.0 }
        gauge("ibismoor_control_term") { port.tables.consensus.status().term.toDouble() }
        gauge("ibismoor_control_commit_index") { port.tables.consensus.status().commitIndex.toDouble() }
        gauge("ibismoor_control_applied_index") { port.tables.appliedIndex.toDouble() }
        gauge("ibismoor_control_configuration_number") {
            port.tables.fleet.configuration.number.value.toDouble()
        }
        gauge("ibismoor_control_charges_retained") { port.tables.fleet.charges.size.toDouble() }
        gauge("ibismoor_control_exchanges_waiting") { exchanges.size.toDouble() }
        gauge("ibismoor_control_consensus_log_bytes") { folder.consensus.log.sizeBytes.toDouble() }
        gauge("ibismoor_control_ledger_log_bytes") { folder.ledger.log.sizeBytes.toDouble() }
    }

    private fun gauge(name: String, value: () -> Double) {
        Gauge.builder(name, value).strongReference(true).register(registry)
    }
}
