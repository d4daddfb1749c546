/**
 * Decodes requests and rejects ambiguous framing, to prevent request smuggling. A request with both `Content-Length`
 * and `Transfer-Encoding: chunked`, or with another transfer coding, fails here; Netty's decoder rejects repeated
 * lengths and bare line feeds.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

private const val MAXIMUM_LINE_BYTES = 8 * 1024

internal class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
            .setMaxHeaderSize(headerBytes)
            .setStrictLineParsing(true),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked; send only one")

    /** The decoder calls this once for each head, and rejects the request if it throws. */
    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        requireReadableTransferCoding(msg.headers())
        return super.isContentAlwaysEmpty(msg)
    }
}
