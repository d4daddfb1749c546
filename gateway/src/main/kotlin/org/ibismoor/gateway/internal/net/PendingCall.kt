/**
 * A call without a complete answer yet; it may still wait for its connection.
 */
package org.ibismoor.gateway.internal.net

internal class PendingCall(private val call: HttpCall, private val listener: AnswerListener) {
    private var connection: ClientConnection? = null

    var isEnded: Boolean = false
        private set

    /** True once the call has a connection and was written to it. */
    val isSent: Boolean get() = connection != null

    /** Sends the call, or fails if its request line or its header fields cannot be written. */
    fun sendOn(connection: ClientConnection) {
        this.connection = connection
        try {
            connection.send(call, listener)
        } catch (_: IllegalArgumentException) {
            connection.cancel()
            fail("unsendable_request")
        }
    }

    fun fail(cause: String) {
        if (isEnded) return
        isEnded = true
        listener.onFailure(cause, isSent = false)
    }

    /** Ends the call without notifying its listener. */
    fun cancel() {
        if (isEnded) return
        isEnded = true
        connection?.cancel()
    }

    /** Marks the call as ended after its listener was notified, so that [cancel] has no effect. */
    fun markEnded() {
        isEnded = true
    }

    fun pauseReading(isPaused: Boolean) {
        connection?.pauseReading(isPaused)
    }
}
