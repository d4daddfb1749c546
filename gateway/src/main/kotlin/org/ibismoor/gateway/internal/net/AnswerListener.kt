/**
 * Receives the answer to a call. All functions are called on the traffic thread, and none after [onEnd] or [onFailure].
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

internal interface AnswerListener {
    /** Receives the head of an answer. False if it belongs to another request: that answer is skipped. */
    fun onHead(head: HttpResponse): Boolean

    /** Receives a part of the body. The buffer is released after the call. */
    fun onBody(part: ByteBuf)

    /** All data received so far was passed to the listener; more may follow. */
    fun onReadComplete()

    /** The answer is complete. */
    fun onEnd()

    /** The answer will not be completed. [isSent] is false if no byte of the request was written. */
    fun onFailure(cause: String, isSent: Boolean)
}
