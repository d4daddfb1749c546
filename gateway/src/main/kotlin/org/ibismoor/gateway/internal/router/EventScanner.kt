/**
 * Finds whole events in a stream of server-sent events. Only whole events are passed on, so that a stream can go on at
 * another upstream without a gap or a repeated part.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val IDENTIFIER = "id:"

/** A stream whose event is larger than this is broken off. */
private const val MAXIMUM_EVENT_BYTES = 1024 * 1024

internal class EventScanner(private val allocator: ByteBufAllocator, private var lastEventId: Long?) {
    private val partial = allocator.buffer()

    /** Whole events that were passed on. */
    var events: Int = 0
        private set

    /** Identifier of the last event that was passed on, if events have any. */
    val lastIdentifier: Long? get() = lastEventId

    /** True if the bytes so far end inside an event. */
    val isInsideEvent: Boolean get() = partial.isReadable

    val isTooLarge: Boolean get() = partial.readableBytes() > MAXIMUM_EVENT_BYTES

    /** The whole events that [part] completes, without those up to the last identifier; null if there are none. */
    fun take(part: ByteBuf): ByteBuf? {
        partial.writeBytes(part)
        val out = allocator.buffer(partial.readableBytes().coerceAtLeast(1))
        var end = endOfEvent()
        while (end > 0) {
            passOn(partial.readSlice(end), out)
            end = endOfEvent()
        }
        partial.discardSomeReadBytes()
        return if (out.isReadable) out else out.release().let { null }
    }

    private fun passOn(event: ByteBuf, out: ByteBuf) {
        val identifier = identifierOf(event)
        val last = lastEventId
        if (identifier != null && last != null && identifier <= last) return
        if (identifier != null) lastEventId = identifier
        events += 1
        out.writeBytes(event)
    }

    /** Length of the first whole event with the blank line after it; 0 if it is not whole. */
    private fun endOfEvent(): Int {
        val start = partial.readerIndex()
        var lineStart = start
        var found = partial.indexOf(lineStart, partial.writerIndex(), LINE_FEED)
        while (found >= 0 && !isBlank(lineStart, found)) {
            lineStart = found + 1
            found = partial.indexOf(lineStart, partial.writerIndex(), LINE_FEED)
        }
        return if (found < 0) 0 else found + 1 - start
    }

    private fun isBlank(lineStart: Int, lineEnd: Int): Boolean =
        lineEnd == lineStart || lineEnd == lineStart + 1 && partial.getByte(lineStart) == CARRIAGE_RETURN

    private fun identifierOf(event: ByteBuf): Long? =
        event.toString(Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith(IDENTIFIER) }
            ?.removePrefix(IDENTIFIER)?.trim()?.toLongOrNull()

    /** Bytes of an event that was not ended. They are passed on only at the end of a whole answer. */
    fun takeRest(): ByteBuf = partial.readRetainedSlice(partial.readableBytes())

    /** Forgets bytes of an event that was cut off. */
    fun dropPartial() {
        partial.clear()
    }

    fun release() {
        partial.release()
    }
}
