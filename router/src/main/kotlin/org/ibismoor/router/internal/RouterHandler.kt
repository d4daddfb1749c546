/**
 * Routes the HTTP requests of callers to their endpoints and checks API keys.
 */
package org.ibismoor.router.internal

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.routing.api.RequestTarget
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.transport.api.CallerConnection
import org.ibismoor.transport.api.CallerHandler
import java.util.UUID

private const val BEARER = "Bearer "

internal class RouterHandler(
    private val state: () -> RouterTables,
    private val runner: StreamRunner,
    private val chat: ChatForwarder,
    private val services: ServiceForwarder,
    private val refusals: Refusals,
    private val endpoints: ReadEndpoints,
) : CallerHandler {
    override fun handle(request: Request, caller: CallerConnection): Response =
        answer(request, caller)
            .header(HeaderNames.CONFIG_NUMBER, state().view.configuration.number.toString())

    private fun answer(request: Request, caller: CallerConnection): Response {
        val path = request.uri.path
        return when {
            path == "/v1/chat/completions" -> requireMethod(Method.POST, request) { handleChat(request, caller) }
            path == "/v1/models" -> requireMethod(Method.GET, request) { withApiKey(request) { endpoints.models() } }
            path == "/v1/addresses" -> requireMethod(Method.GET, request) { endpoints.addresses(request) }
            path == "/metrics" -> requireMethod(Method.GET, request) { endpoints.metrics() }
            path == "/health" -> requireMethod(Method.GET, request) { endpoints.health() }
            path.startsWith(ServiceCall.PREFIX) -> handleService(request, caller)
            else -> refusals.refuseEarly(RefusalReason.UNKNOWN_ROUTE, "There is no endpoint at this path.")
        }
    }

    private fun requireMethod(method: Method, request: Request, answer: () -> Response): Response =
        if (request.method == method) {
            answer()
        } else {
            refusals.refuseEarly(RefusalReason.MALFORMED_REQUEST, "This path supports only $method.")
                .status(Status.METHOD_NOT_ALLOWED).header("Allow", method.name)
        }

    private fun handleChat(request: Request, caller: CallerConnection): Response {
        val body = request.body.payload.array()
        return withApiKey(request) { key ->
            withValue(ChatCall.parse(body.decodeToString())) { call ->
                withRoutedRequest(request, key, body, call.target) { routed ->
                    runner.run(routed, caller) { chat.forward(call, it) }
                }
            }
        }
    }

    private fun handleService(request: Request, caller: CallerConnection): Response {
        val body = request.body.payload.array()
        return withApiKey(request) { key ->
            withValue(ServiceCall.parse(request)) { call ->
                withRoutedRequest(request, key, body, call.target) { routed ->
                    runner.run(routed, caller) { services.forward(call, request, body, it) }
                }
            }
        }
    }

    private fun withApiKey(request: Request, answer: (String) -> Response): Response {
        val header = request.header(HeaderNames.AUTHORIZATION).orEmpty()
        val key = header.removePrefix(BEARER).takeIf { header.startsWith(BEARER) && it.isNotBlank() }
        val isKnown = key != null && digestOf(key) in state().view.configuration.apiKeys
        val isReady = state().view.configuration.number.value > 0
        return if (key != null && (isKnown || !isReady)) {
            answer(key)
        } else {
            refusals.refuseEarly(RefusalReason.UNAUTHENTICATED, messageOf(RefusalReason.UNAUTHENTICATED))
                .header("WWW-Authenticate", "Bearer")
        }
    }

    private fun <T> withValue(parsed: Parsed<T>, answer: (T) -> Response): Response =
        when (parsed) {
            is Parsed.Value -> answer(parsed.value)
            is Parsed.Malformed -> refusals.refuseEarly(RefusalReason.MALFORMED_REQUEST, parsed.problem)
        }

    private fun withRoutedRequest(
        request: Request,
        key: String,
        body: ByteArray,
        target: RequestTarget,
        answer: (RoutedRequest) -> Response,
    ): Response =
        withValue(CallOptions.of(request)) {
            answer(
                RoutedRequest(
                    apiKey = digestOf(key),
                    target = target,
                    body = digestOf(request, body),
                    idempotencyKey = it.idempotencyKey,
                    generatedKey = state().view.keyPrefix + UUID.randomUUID(),
                    priority = it.priority,
                    deadlineMillis = it.deadlineMillis,
                ),
            )
        }
}
