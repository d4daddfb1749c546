/**
 * Splits a stream of server-sent events into complete events. Only complete events are forwarded, so that a stream can
 * be resumed at another upstream without a gap or a duplicate.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** A stream with a larger event is aborted, to bound the memory of an exchange. */
private const val MAXIMUM_EVENT_BYTES = 1024 * 1024

internal class EventScanner(private val allocator: ByteBufAllocator, startAfterEventId: Long?) {
    private val partial = allocator.buffer()

    /** Complete events that were forwarded. */
    var eventCount: Int = 0
        private set

    /** Identifier of the last forwarded event, or the one after which the caller resumes; null without identifiers. */
    var lastEventId: Long? = startAfterEventId
        private set

    /** True if the bytes received so far end inside an event. */
    val isInsideEvent: Boolean get() = partial.isReadable

    val isEventTooLarge: Boolean get() = partial.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Appends [part] and takes the events that it completes, without those up to [lastEventId]; null if none. */
    fun takeEvents(part: ByteBuf): ByteBuf? {
        partial.writeBytes(part)
        val out = allocator.buffer(partial.readableBytes().coerceAtLeast(1))
        var length = firstEventLength()
        while (length > 0) {
            copyIfNew(partial.readSlice(length), out)
            length = firstEventLength()
        }
        partial.discardSomeReadBytes()
        return if (out.isReadable) out else out.release().let { null }
    }

    private fun copyIfNew(event: ByteBuf, out: ByteBuf) {
        val eventId = eventIdOf(event)
        val last = lastEventId
        if (eventId != null && last != null && eventId <= last) return
        if (eventId != null) lastEventId = eventId
        eventCount += 1
        out.writeBytes(event)
    }

    /** Length of the first event in [partial] including its blank line; 0 if the event is incomplete. */
    private fun firstEventLength(): Int {
        val start = partial.readerIndex()
        var lineStart = start
        var lineEnd = partial.indexOf(lineStart, partial.writerIndex(), LINE_FEED)
        while (lineEnd >= 0 && !isBlank(lineStart, lineEnd)) {
            lineStart = lineEnd + 1
            lineEnd = partial.indexOf(lineStart, partial.writerIndex(), LINE_FEED)
        }
        return if (lineEnd < 0) 0 else lineEnd + 1 - start
    }

    private fun isBlank(lineStart: Int, lineEnd: Int): Boolean =
        lineEnd == lineStart || lineEnd == lineStart + 1 && partial.getByte(lineStart) == CARRIAGE_RETURN

    private fun eventIdOf(event: ByteBuf): Long? =
        event.toString(Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    /** Bytes after the last complete event. They are forwarded only at the end of a complete answer. */
    fun takePartialEvent(): ByteBuf = partial.readRetainedSlice(partial.readableBytes())

    /** Discards the bytes of a truncated event. */
    fun dropPartialEvent() {
        partial.clear()
    }

    fun release() {
        partial.release()
    }
}
