/**
 * An upstream's answer that is buffered completely before any of it is forwarded.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import org.ibismoor.gateway.api.AnswerFields
import java.io.ByteArrayOutputStream

/** A larger answer is forwarded in chunks as it arrives. */
internal const val BUFFERED_ANSWER_BYTES: Int = 1024 * 1024

/** A larger failure, or success without the mark of computed answers, is not awaited. */
internal const val FAILED_ANSWER_BYTES: Int = 128 * 1024

internal class BufferedAnswer(val head: HttpResponse, val fields: AnswerFields) {
    private val bytes = ByteArrayOutputStream()

    val size: Int get() = bytes.size()

    /** True if a length or chunks mark the end of the body. Otherwise all that the upstream writes belongs to it. */
    val isDelimited: Boolean get() = isChunked || HttpUtil.isContentLengthSet(head)

    val isChunked: Boolean get() = HttpUtil.isTransferEncodingChunked(head)

    fun add(part: ByteBuf) {
        part.getBytes(part.readerIndex(), bytes, part.readableBytes())
    }

    fun text(): String = bytes.toString(Charsets.ISO_8859_1)

    fun toByteArray(): ByteArray = bytes.toByteArray()
}
