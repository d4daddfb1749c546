/**
 * Metrics of a router: a counter for each refusal and retry reason, streams in flight and the configuration number.
 */
package org.ibismoor.router.internal

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.ibismoor.routing.api.RoutingEvent

internal class RouterMetrics(tables: () -> RouterTables?) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        registry.gauge("ibismoor.router.streams", this) { tables()?.routing?.streams?.size?.toDouble() ?: 0.0 }
        registry.gauge("ibismoor.router.queued", this) { tables()?.routing?.queuedCount?.toDouble() ?: 0.0 }
        registry.gauge("ibismoor.router.configuration", this) {
            tables()?.view?.configuration?.number?.value?.toDouble() ?: 0.0
        }
    }

    fun count(event: RoutingEvent, reason: String) {
        registry.counter("ibismoor.router.events", "event", event.name.lowercase(), "reason", reason).increment()
    }

    fun scrape(): String = registry.scrape()
}
