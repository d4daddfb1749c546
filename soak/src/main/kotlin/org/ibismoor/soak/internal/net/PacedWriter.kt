/**
 * Writes to one end of a proxied connection, later or at a limited rate if the link is disturbed.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import java.util.concurrent.TimeUnit

private const val DELAY_MILLIS = 200L
private const val SLOW_BYTES_PER_SECOND = 4_096
private const val MILLIS_PER_SECOND = 1_000L

internal class PacedWriter(
    val to: Channel,
    private val onPaceChange: () -> Unit,
    private val onIdle: () -> Unit,
) {
    private var delayedWrites = 0
    private var isPaused = false

    /** No write is outstanding. */
    val isIdle: Boolean get() = delayedWrites == 0

    /** More bytes may be read for this writer. */
    val isReady: Boolean get() = to.isActive && to.isWritable && !isPaused

    /** Bytes after delayed ones are delayed too, so that they keep their order. */
    fun write(bytes: ByteBuf, settings: PumpSettings) {
        val size = bytes.readableBytes()
        if (settings.isDelayed || delayedWrites > 0) writeLater(bytes) else to.writeAndFlush(bytes)
        if (settings.isSlow) pauseFor(size * MILLIS_PER_SECOND / SLOW_BYTES_PER_SECOND)
    }

    private fun writeLater(bytes: ByteBuf) {
        delayedWrites += 1
        to.eventLoop().schedule({
            delayedWrites -= 1
            to.writeAndFlush(bytes)
            if (isIdle) onIdle()
        }, DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun pauseFor(millis: Long) {
        isPaused = true
        onPaceChange()
        to.eventLoop().schedule({
            isPaused = false
            onPaceChange()
        }, millis, TimeUnit.MILLISECONDS)
    }
}
