/**
 * A fixed number of connections that send [CallerPattern]s to one address for a fixed time. A connection that the
 * process closes is replaced by a new one with the same pattern.
 */
package org.ibismoor.testing

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit

private const val SELECT_MILLIS = 20L
private const val READ_BYTES = 64 * 1024

/** Keeps the crowd from opening connections in a closed loop while the process refuses them. */
private const val REOPEN_MILLIS = 100L

class CallerCrowd(
    private val address: InetSocketAddress,
    private val patterns: List<CallerPattern>,
    private val connections: Int,
    private val seconds: Int,
) {
    private val readBuffer = ByteBuffer.allocate(READ_BYTES)

    /** Sends until the time is over and calls [observe] between rounds, then closes all connections. */
    fun run(observe: () -> Unit) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        Selector.open().use { selector ->
            val callers = List(connections) { Caller(patterns[it % patterns.size], selector) }
            try {
                while (System.nanoTime() < end) {
                    callers.forEach(Caller::open)
                    handleReady(selector)
                    observe()
                }
            } finally {
                callers.forEach(Caller::close)
            }
        }
    }

    private fun handleReady(selector: Selector) {
        selector.select(SELECT_MILLIS)
        selector.selectedKeys().forEach { (it.attachment() as Caller).handle(it) }
        selector.selectedKeys().clear()
    }

    private inner class Caller(private val pattern: CallerPattern, private val selector: Selector) {
        private var channel: SocketChannel? = null
        private var parts = emptySequence<ByteArray>().iterator()
        private var current: ByteBuffer? = null
        private var openedAt = 0L
        private val readOps = if (pattern.isReading) SelectionKey.OP_READ else 0

        fun open() {
            val now = System.nanoTime()
            if (channel != null || now - openedAt < TimeUnit.MILLISECONDS.toNanos(REOPEN_MILLIS)) return
            openedAt = now
            parts = pattern.parts().iterator()
            current = null
            val opened = SocketChannel.open().also { channel = it }
            opened.configureBlocking(false)
            opened.register(selector, SelectionKey.OP_CONNECT, this)
            closeOnFailure { opened.connect(address) }
        }

        fun handle(key: SelectionKey) = closeOnFailure {
            val opened = key.channel() as SocketChannel
            val isConnected = key.isValid && key.isConnectable && opened.finishConnect()
            if (isConnected) key.interestOps(readOps or SelectionKey.OP_WRITE)
            if (key.isValid && key.isWritable) write(key, opened)
            if (key.isValid && key.isReadable) read(opened)
        }

        private fun write(key: SelectionKey, opened: SocketChannel) {
            val buffer = current?.takeIf { it.hasRemaining() }
                ?: parts.takeIf { it.hasNext() }?.next()?.let(ByteBuffer::wrap).also { current = it }
            if (buffer != null) {
                opened.write(buffer)
            } else {
                key.interestOps(readOps)
            }
        }

        private fun read(opened: SocketChannel) {
            readBuffer.clear()
            if (opened.read(readBuffer) < 0) close()
        }

        private inline fun closeOnFailure(action: () -> Unit) {
            try {
                action()
            } catch (_: IOException) {
                close()
            }
        }

        fun close() {
            channel?.close()
            channel = null
        }
    }
}
