/**
 * A request to send over a client connection, with its complete body.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

internal class HttpCall(
    /** IP address and port. */
    val address: String,
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
)
