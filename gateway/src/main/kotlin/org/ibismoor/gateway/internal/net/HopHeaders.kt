/**
 * Hop-by-hop header fields, which apply to a single connection and are not forwarded.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

private val HOP_BY_HOP_HEADERS = listOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
)

/** Removes the hop-by-hop fields, including those named by the `Connection` field. */
internal fun HttpHeaders.removeHopByHopHeaders(): HttpHeaders {
    val named = getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
    (named.filter { it.isNotEmpty() } + HOP_BY_HOP_HEADERS).forEach { remove(it) }
    return this
}
