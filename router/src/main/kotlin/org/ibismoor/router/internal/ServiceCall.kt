/**
 * A call of a service below `/services/<route>`. The path is forwarded unchanged, so a path that the service could
 * resolve differently from the rules of the route is refused.
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
            val servicePath = "/" + path.substringAfter('/', "")
            return when {
                route.isEmpty() -> Parsed.Malformed("the path names no route")
                isAmbiguous(servicePath) -> Parsed.Malformed("the path has an encoded, empty or relative part")
                else -> Parsed.Value(
                    ServiceCall(ServiceTarget(RouteId(route), request.method.name, servicePath), request.uri.query),
                )
            }
        }

        private fun isAmbiguous(path: String): Boolean =
            "//" in path || ambiguousParts.any { it in "${path.lowercase()}/" }
    }
}
