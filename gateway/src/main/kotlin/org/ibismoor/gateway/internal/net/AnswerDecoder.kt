/**
 * Decodes answers to requests that this process sends. An answer to HEAD has no body, whatever its headers say.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAXIMUM_HEADER_BYTES = 64 * 1024

internal class AnswerDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)) {
    /** True if the current request is HEAD. Set before each request on the event loop of the connection. */
    var isHeadRequest: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = isHeadRequest || super.isContentAlwaysEmpty(msg)
}
