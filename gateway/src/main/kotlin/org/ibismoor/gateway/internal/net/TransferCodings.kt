/**
 * Check of the transfer codings of a message. Only `chunked` is decoded here: with any other coding the length of the
 * body is unknown, so that its bytes could be read as the next message.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders

/** Throws `IllegalArgumentException` if [headers] name a transfer coding other than a single `chunked`. */
internal fun requireReadableTransferCoding(headers: HttpHeaders) {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val isReadable = codings.isEmpty() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull())
    require(isReadable) {
        "unsupported Transfer-Encoding \"${codings.joinToString()}\"; send chunked or a Content-Length"
    }
}
