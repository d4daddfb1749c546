/**
 * Decodes requests and rejects ambiguous framing, to prevent request smuggling. A request with both `Content-Length`
 * and `Transfer-Encoding: chunked`, or with another transfer coding, fails here; Netty's decoder rejects repeated
 * lengths and bare line feeds. Header lines are charged to the [MemoryAccount] of the connection.
 */
package org.ibismoor.gateway.internal.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import org.ibismoor.runtime.api.MemoryAccount

private const val MAXIMUM_LINE_BYTES = 8 * 1024

/** The shortest line, a name of one letter, a colon and the line end, has four bytes. */
private const val SHORTEST_HEADER_LINE_BYTES = 4

/** Header lines that a head of [headerBytes] can hold, so that no caller inside that size meets the limit of lines. */
internal fun headerLinesOf(headerBytes: Int): Int = headerBytes / SHORTEST_HEADER_LINE_BYTES

internal class StrictRequestDecoder(
    headerBytes: Int,
    account: MemoryAccount,
    headerLines: Int = headerLinesOf(headerBytes),
) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
            .setMaxHeaderSize(headerBytes)
            .setHeadersFactory(ChargedHeadersFactory(account, headerLines))
            .setTrailersFactory(DroppedTrailersFactory(headerLines))
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
