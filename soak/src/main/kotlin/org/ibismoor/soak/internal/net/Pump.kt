/**
 * Carries the bytes of one direction of a proxied connection. Bytes that are held back are not read, so that the sender
 * sees a full window as on a link that drops packets. The end of the direction is held back with them.
 */
package org.ibismoor.soak.internal.net

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener

internal data class PumpSettings(
    val isHeld: Boolean = false,
    val isDelayed: Boolean = false,
    val isSlow: Boolean = false,
    val isTruncated: Boolean = false,
)

internal class Pump(private val connection: ProxiedConnection) {
    private var from: Channel? = null
    private var writer: PacedWriter? = null
    private var settings = PumpSettings()
    private val held = ArrayDeque<ByteBuf>()
    private var isEnded = false

    fun connect(from: Channel, to: Channel) {
        this.from = from
        writer = PacedWriter(to, onPaceChange = ::updateReading, onIdle = ::finishIfEnded)
    }

    fun apply(settings: PumpSettings) {
        this.settings = settings
        if (!settings.isHeld) releaseHeld()
        updateReading()
    }

    private fun releaseHeld() {
        while (held.isNotEmpty()) writer?.write(held.removeFirst(), settings)
        finishIfEnded()
    }

    fun updateReading() {
        val target = writer ?: return
        from?.config()?.isAutoRead = target.isReady && !settings.isHeld
    }

    fun read(bytes: ByteBuf) {
        when {
            settings.isHeld -> held += bytes
            settings.isTruncated -> truncate(bytes)
            else -> writer?.write(bytes, settings)
        }
    }

    private fun truncate(bytes: ByteBuf) {
        writer?.write(bytes.readRetainedSlice(bytes.readableBytes() / 2), settings)
        bytes.release()
        from?.close()
    }

    /** The sender has ended the direction. */
    fun end() {
        isEnded = true
        finishIfEnded()
    }

    private fun finishIfEnded() {
        val target = writer ?: return
        if (!isEnded || settings.isHeld || !target.isIdle) return
        target.to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        connection.remove()
    }

    fun reset() {
        held.forEach { it.release() }
        held.clear()
        writer?.to?.let(::resetChannel)
    }
}
