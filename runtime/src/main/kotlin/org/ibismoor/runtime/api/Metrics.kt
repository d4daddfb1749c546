/**
 * Creates the metrics registry of a program. Meters are named `ibismoor_...`; counters of refusals carry the label
 * `reason`.
 */
package org.ibismoor.runtime.api

import io.micrometer.core.instrument.Clock
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Content type of the Prometheus text format. */
const val METRICS_CONTENT_TYPE: String = "text/plain; version=0.0.4; charset=utf-8"

/** Creates a registry with JVM and processor meters. `scrape()` gives the text format. */
fun createMetrics(program: String): PrometheusMeterRegistry {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT, PrometheusRegistry(), Clock.SYSTEM)
    registry.config().commonTags("program", program)
    JvmMemoryMetrics().bindTo(registry)
    JvmThreadMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
    return registry
}
