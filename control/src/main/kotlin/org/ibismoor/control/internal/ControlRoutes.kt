/**
 * HTTP endpoints of a control process.
 */
package org.ibismoor.control.internal

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.runtime.api.METRICS_CONTENT_TYPE
import org.ibismoor.transport.api.jsonResponse
import org.ibismoor.transport.api.refusalResponse

/** Until [process] runs, only identity, metrics and health are served, and requests to [services] are refused. */
internal fun controlRoutes(
    process: RunningControl,
    identity: () -> FolderIdentity,
    services: List<RoutingHttpHandler>,
    metrics: PrometheusMeterRegistry,
): HttpHandler {
    val always = listOf(
        IDENTITY_PATH bind Method.GET to { identityResponse(identity()) },
        "/metrics" bind Method.GET to { text(Status.OK, metrics.scrape(), METRICS_CONTENT_TYPE) },
        "/health" bind Method.GET to { health(process) },
    )
    val running: HttpHandler = routesOf(services + always)
    val starting: HttpHandler = routesOf(always)
    return { request -> if (process.isRunning) running(request) else starting(request).orNotReady() }
}

@Suppress("SpreadOperator") // the routing library takes its routes as varargs only
private fun routesOf(list: List<RoutingHttpHandler>): HttpHandler = routes(*list.toTypedArray())

private fun identityResponse(identity: FolderIdentity): Response {
    val answer = IdentityAnswer(identity.creation.replica, identity.creation.folder, identity.peerFolders)
    return jsonResponse(Status.OK, IdentityAnswer.serializer(), answer)
}

private fun health(process: RunningControl): Response =
    if (process.isRunning) text(Status.OK, "ok\n") else text(Status.SERVICE_UNAVAILABLE, "starting\n")

private fun text(status: Status, content: String, type: String = "text/plain"): Response =
    Response(status).header("Content-Type", type).body(content)

private fun Response.orNotReady(): Response =
    if (status == Status.NOT_FOUND) {
        refusalResponse(RefusalReason.NOT_READY, Outcome.NOT_RUN, "the control process is starting")
    } else {
        this
    }
