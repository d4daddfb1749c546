/**
 * Detects that a caller closes its connection while its request runs, since Undertow does not read from the connection
 * in that time. Pipelined bytes of a next request are returned to Undertow and end the detection.
 */
package org.ibismoor.transport.internal

import io.undertow.server.AbstractServerConnection
import io.undertow.server.ServerConnection
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.AttachmentKey
import org.ibismoor.transport.api.CallerConnection
import java.io.IOException
import java.nio.ByteBuffer

private const val END_OF_STREAM = -1

internal class DisconnectDetector private constructor(private val connection: HttpServerConnection) : CallerConnection {
    private var isReading = false
    private var actions = emptyList<() -> Unit>()

    @get:Synchronized
    var isClosed = false
        private set

    /** Starts the detection. The body of the request must have been read. */
    @Synchronized
    fun start() {
        actions = emptyList()
        if (connection.extraBytes == null) {
            isReading = true
            connection.channel.sourceChannel.setReadListener { handleReadable() }
            connection.originalSourceConduit.resumeReads()
        }
    }

    /** Stops the detection. Must be called before the caller can have reason to send its next request. */
    @Synchronized
    fun stop() {
        actions = emptyList()
        stopReading()
    }

    override fun onClosed(action: () -> Unit) {
        if (!addAction(action)) action()
    }

    @Synchronized
    private fun addAction(action: () -> Unit): Boolean {
        if (!isClosed) actions = actions + action
        return !isClosed
    }

    private fun runActions() = takeActions().forEach { it() }

    @Synchronized
    private fun takeActions(): List<() -> Unit> {
        isClosed = true
        stopReading()
        return actions.also { actions = emptyList() }
    }

    private fun stopReading() {
        if (isReading) connection.originalSourceConduit.suspendReads()
        isReading = false
    }

    private fun handleReadable() {
        if (readsEndOfStream()) runActions()
    }

    @Synchronized
    private fun readsEndOfStream(): Boolean {
        if (!isReading) return false
        val pooled = connection.byteBufferPool.allocate()
        val count = readInto(pooled.buffer)
        if (count > 0) {
            pooled.buffer.flip()
            connection.ungetRequestBytes(pooled)
            stopReading()
        } else {
            pooled.close()
        }
        return count == END_OF_STREAM
    }

    private fun readInto(buffer: ByteBuffer): Int =
        try {
            connection.originalSourceConduit.read(buffer)
        } catch (_: IOException) {
            END_OF_STREAM
        }

    companion object {
        private val key = AttachmentKey.create(DisconnectDetector::class.java)

        /** The detector of [connection], shared by all its requests since close listeners cannot be removed. */
        fun of(connection: ServerConnection): DisconnectDetector =
            connection.getAttachment(key) ?: create(connection as HttpServerConnection)

        private fun create(connection: HttpServerConnection): DisconnectDetector {
            val detector = DisconnectDetector(connection)
            connection.putAttachment(key, detector)
            (connection as AbstractServerConnection).addCloseListener { detector.runActions() }
            return detector
        }
    }
}
