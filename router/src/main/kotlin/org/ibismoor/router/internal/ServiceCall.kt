/**
 * A call of a plain service below `/services/<route>`. The path is passed on as the caller wrote it, so paths that
 * could mean another place to the service than to the rules are refused.
 */
package org.ibismoor.router.internal

import org.http4k.core.Request
import org.ibismoor.core.api.RouteId
import org.ibismoor.routing.api.ServiceTarget

private val ambiguousParts = listOf("%2e", "%2f", "%5c", "\\", "/../", "/./", ";")

internal data class ServiceCall(val target: ServiceTarget, val query: String) {
    companion object {
        const val PREFIX = "/services/"

        fun parse(request: Request): Parsed<ServiceCall> {
            val path = request.uri.path.removePrefix(PREFIX)
            val route = path.substringBefore('/')
            val below = "/" + path.substringAfter('/', "")
            return when {
                route.isEmpty() -> Parsed.Malformed("the path names no route")
                isAmbiguous(below) -> Parsed.Malformed("the path has an encoded, empty or relative part")
                else -> Parsed.Value(
                    ServiceCall(ServiceTarget(RouteId(route), request.method.name, below), request.uri.query),
                )
            }
        }

        private fun isAmbiguous(path: String): Boolean =
            "//" in path || ambiguousParts.any { it in "${path.lowercase()}/" }
    }
}
