/**
 * Writes the answer of an exchange to the caller's connection.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

internal interface AnswerSink {
    /** Sends a complete answer. */
    fun sendAnswer(status: Int, reason: String, headers: HttpHeaders, body: ByteArray)

    /** Charges [bytes] of an answer that is buffered before it is written. False if there is no room for them. */
    fun chargeAnswer(bytes: Int): Boolean = true

    /** Starts a chunked answer. */
    fun startAnswer(status: Int, reason: String, headers: HttpHeaders)

    /** Writes a part of the body and takes ownership of the buffer. False if the connection's write buffer is full. */
    fun writeBody(part: ByteBuf): Boolean

    fun flush()

    /** Ends a chunked answer. */
    fun endAnswer()

    /** Closes the connection without the end of the answer, so that the caller sees it as truncated. */
    fun abort()
}
