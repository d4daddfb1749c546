/**
 * Entry of all requests of callers.
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
    private val chat: ChatFlow,
    private val services: ServiceFlow,
    private val refusals: Refusals,
    private val reads: ReadAnswers,
) : CallerHandler {
    override fun handle(request: Request, caller: CallerConnection): Response =
        answer(request, caller)
            .header(CallerHeaders.CONFIG_NUMBER, state().view.configuration.number.toString())

    private fun answer(request: Request, caller: CallerConnection): Response {
        val path = request.uri.path
        return when {
            path == "/v1/chat/completions" -> expect(Method.POST, request) { chat(request, caller) }
            path == "/v1/models" -> expect(Method.GET, request) { authenticated(request) { reads.models() } }
            path == "/v1/addresses" -> expect(Method.GET, request) { reads.addresses(request) }
            path == "/metrics" -> expect(Method.GET, request) { reads.metrics() }
            path == "/health" -> expect(Method.GET, request) { reads.health() }
            path.startsWith(ServiceCall.PREFIX) -> service(request, caller)
            else -> refusals.early(RefusalReason.UNKNOWN_ROUTE, "There is nothing at this path.")
        }
    }

    private fun expect(method: Method, request: Request, answer: () -> Response): Response =
        if (request.method == method) {
            answer()
        } else {
            refusals.early(RefusalReason.MALFORMED_REQUEST, "This path takes $method only.")
                .status(Status.METHOD_NOT_ALLOWED).header("Allow", method.name)
        }

    private fun chat(request: Request, caller: CallerConnection): Response {
        val body = request.body.payload.array()
        return authenticated(request) { key ->
            parsed(ChatCall.parse(body.decodeToString())) { call ->
                routed(request, key, body, call.target) { routed ->
                    runner.run(routed, caller) { chat.attempt(call, it) }
                }
            }
        }
    }

    private fun service(request: Request, caller: CallerConnection): Response {
        val body = request.body.payload.array()
        return authenticated(request) { key ->
            parsed(ServiceCall.parse(request)) { call ->
                routed(request, key, body, call.target) { routed ->
                    runner.run(routed, caller) { services.attempt(call, request, body, it) }
                }
            }
        }
    }

    private fun authenticated(request: Request, answer: (String) -> Response): Response {
        val header = request.header(CallerHeaders.AUTHORIZATION).orEmpty()
        val key = header.removePrefix(BEARER).takeIf { header.startsWith(BEARER) && it.isNotBlank() }
        val isKnown = key != null && digestOf(key) in state().view.configuration.apiKeys
        val isReady = state().view.configuration.number.value > 0
        return if (key != null && (isKnown || !isReady)) {
            answer(key)
        } else {
            refusals.early(RefusalReason.UNAUTHENTICATED, messageOf(RefusalReason.UNAUTHENTICATED))
                .header("WWW-Authenticate", "Bearer")
        }
    }

    private fun <T> parsed(parsed: Parsed<T>, answer: (T) -> Response): Response =
        when (parsed) {
            is Parsed.Value -> answer(parsed.value)
            is Parsed.Malformed -> refusals.early(RefusalReason.MALFORMED_REQUEST, parsed.problem)
        }

    private fun routed(
        request: Request,
        key: String,
        body: ByteArray,
        target: RequestTarget,
        answer: (RoutedRequest) -> Response,
    ): Response =
        parsed(CallOptions.of(request)) {
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
