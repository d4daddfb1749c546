/**
 * A caller's request with its complete body.
 */
package org.ibismoor.gateway.internal.router

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.ibismoor.gateway.api.RequestFields

internal class ReceivedRequest(
    val method: HttpMethod,
    val uri: String,
    val host: String,
    val headers: HttpHeaders,
    val fields: RequestFields,
    val body: ByteArray,
) {
    val path: String get() = uri.substringBefore('?')
}
