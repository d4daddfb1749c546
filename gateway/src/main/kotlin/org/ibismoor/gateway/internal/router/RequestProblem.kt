/**
 * Reasons for which a request is rejected while it is read. Such a request was not sent to an upstream.
 */
package org.ibismoor.gateway.internal.router

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.ibismoor.gateway.internal.net.MemoryRefusedException

internal enum class RequestProblem(val status: HttpResponseStatus, val code: String) {
    MALFORMED(HttpResponseStatus.BAD_REQUEST, "malformed_request"),
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT, "request_too_slow"),
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request_too_large"),
    LINE_TOO_LONG(HttpResponseStatus.REQUEST_URI_TOO_LONG, "request_line_too_long"),
    HEADERS_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large"),
    NO_MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE, "no_memory"),
    UNSUPPORTED_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "protocol_version"),
}

internal fun problemOf(message: HttpObject): RequestProblem =
    when (message.decoderResult().cause()) {
        is MemoryRefusedException -> RequestProblem.NO_MEMORY
        is TooLongHttpHeaderException -> RequestProblem.HEADERS_TOO_LARGE
        is TooLongHttpLineException -> RequestProblem.LINE_TOO_LONG
        else -> RequestProblem.MALFORMED
    }

internal fun refusalHeaders(): HttpHeaders =
    DefaultHttpHeadersFactory.headersFactory().newHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")

internal fun statusOf(status: Int, reason: String): HttpResponseStatus =
    if (reason.isEmpty()) HttpResponseStatus.valueOf(status) else HttpResponseStatus.valueOf(status, reason)
