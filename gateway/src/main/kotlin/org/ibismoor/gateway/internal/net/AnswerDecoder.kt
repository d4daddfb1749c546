/**
 * Decodes answers to requests that this process sends. An answer to HEAD has no body, whatever its headers say.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAXIMUM_HEADER_BYTES = 64 * 1024

/** Index of the status among the words of a status line. */
private const val STATUS_WORD = 1

internal class AnswerDecoder : HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)) {
    /** True if the current request is HEAD. Set before each request on the event loop of the connection. */
    var isHeadRequest: Boolean = false

    /** Bytes received since the last one that belongs to the answer of the current call, skipped ones included. */
    var unusedBytes: Long = 0
        private set

    fun markUse() {
        unusedBytes = 0
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is ByteBuf) unusedBytes += msg.readableBytes()
        super.channelRead(ctx, msg)
    }

    /**
     * Netty accepts any number that is not negative as a status. Below 200 it would be skipped as an interim answer,
     * and from 600 on it would be passed on as a failure. The decoder rejects the answer if this throws.
     */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        requireStatus(initialLine[STATUS_WORD])
        return super.createMessage(initialLine)
    }

    /** The decoder calls this once for each head, and rejects the answer if it throws. */
    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        requireSingleHead(msg as HttpResponse)
        val isEmpty = isHeadRequest || super.isContentAlwaysEmpty(msg)
        if (!isEmpty) requireReadableTransferCoding(msg.headers())
        return isEmpty
    }
}
