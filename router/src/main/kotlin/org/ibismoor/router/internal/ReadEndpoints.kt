/**
 * Endpoints that read the published state of the router: models, addresses, metrics and health.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.membership.api.AddressList
import org.ibismoor.membership.api.addressList
import org.ibismoor.transport.api.jsonResponse
import java.util.concurrent.atomic.AtomicLong

internal class ReadEndpoints(
    private val state: () -> RouterTables,
    private val metrics: RouterMetrics,
    private val randomSeed: Long,
) {
    private val addressRequests = AtomicLong()

    fun models(): Response {
        val routes = state().view.configuration.routes.values.filterIsInstance<ModelRoute>()
        val models = routes.map { it.model }.distinct().sorted().map { Model(it, "model", 0, "ibismoor") }
        return jsonResponse(Status.OK, ModelList.serializer(), ModelList("list", models))
    }

    fun addresses(request: Request): Response {
        val domain = request.query("domain")?.let(::FailureDomainId)
        val view = state().view
        val random = SeededRandom(randomSeed + addressRequests.incrementAndGet())
        val list = addressList(view.routers, domain, view.keyPrefix, random)
        return jsonResponse(Status.OK, AddressList.serializer(), list)
    }

    fun metrics(): Response =
        Response(Status.OK).header(HeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4").body(metrics.scrape())

    fun health(): Response {
        val tables = state()
        val number = tables.view.configuration.number.value
        val health = Health(number > 0, tables.routing.drain != null, number, tables.routing.streams.size)
        val status = if (health.isReady) Status.OK else Status.SERVICE_UNAVAILABLE
        return jsonResponse(status, Health.serializer(), health)
    }
}

@Serializable
private data class ModelList(@SerialName("object") val kind: String, val data: List<Model>)

@Serializable
private data class Model(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    @SerialName("owned_by") val ownedBy: String,
)

@Serializable
private data class Health(
    @SerialName("is_ready") val isReady: Boolean,
    @SerialName("is_draining") val isDraining: Boolean,
    val configuration: Long,
    val streams: Int,
)
