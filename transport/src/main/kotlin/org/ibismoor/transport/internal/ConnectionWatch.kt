/**
 * Notices that a caller closes its connection while its request runs. Undertow itself does not read from a connection
 * then. Bytes of a next request that a caller sends early are handed back to Undertow and end the watch.
 */
package org.ibismoor.transport.internal

import io.undertow.server.AbstractServerConnection
import io.undertow.server.ServerConnection
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.AttachmentKey
import org.ibismoor.transport.api.CallerConnection
import java.io.IOException
import java.nio.ByteBuffer

private const val CLOSED = -1

internal class ConnectionWatch private constructor(private val connection: HttpServerConnection) : CallerConnection {
    private var isWatching = false
    private var isClosed = false
    private var actions = emptyList<() -> Unit>()

    /** Starts to watch. The body of the request has been read. */
    @Synchronized
    fun begin() {
        actions = emptyList()
        if (connection.extraBytes == null) {
            isWatching = true
            connection.channel.sourceChannel.setReadListener { readable() }
            connection.originalSourceConduit.resumeReads()
        }
    }

    /** Stops to watch, before the caller can have reason to send its next request. */
    @Synchronized
    fun end() {
        actions = emptyList()
        stopReading()
    }

    override fun onClosed(action: () -> Unit) {
        if (!add(action)) action()
    }

    @Synchronized
    private fun add(action: () -> Unit): Boolean {
        if (!isClosed) actions = actions + action
        return !isClosed
    }

    private fun closed() = takeActions().forEach { it() }

    @Synchronized
    private fun takeActions(): List<() -> Unit> {
        isClosed = true
        stopReading()
        return actions.also { actions = emptyList() }
    }

    private fun stopReading() {
        if (isWatching) connection.originalSourceConduit.suspendReads()
        isWatching = false
    }

    private fun readable() {
        if (isEndRead()) closed()
    }

    @Synchronized
    private fun isEndRead(): Boolean {
        if (!isWatching) return false
        val pooled = connection.byteBufferPool.allocate()
        val count = readInto(pooled.buffer)
        if (count > 0) {
            pooled.buffer.flip()
            connection.ungetRequestBytes(pooled)
            stopReading()
        } else {
            pooled.close()
        }
        return count == CLOSED
    }

    private fun readInto(buffer: ByteBuffer): Int =
        try {
            connection.originalSourceConduit.read(buffer)
        } catch (_: IOException) {
            CLOSED
        }

    companion object {
        private val key = AttachmentKey.create(ConnectionWatch::class.java)

        /** The watch of [connection]: one for all its requests, since close listeners cannot be removed. */
        fun of(connection: ServerConnection): ConnectionWatch =
            connection.getAttachment(key) ?: create(connection as HttpServerConnection)

        private fun create(connection: HttpServerConnection): ConnectionWatch {
            val watch = ConnectionWatch(connection)
            connection.putAttachment(key, watch)
            (connection as AbstractServerConnection).addCloseListener { watch.closed() }
            return watch
        }
    }
}
