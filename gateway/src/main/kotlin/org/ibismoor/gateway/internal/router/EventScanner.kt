/**
 * Splits a stream of server-sent events into complete events. Only complete events are forwarded, so that a stream can
 * be resumed at another upstream without a gap or a duplicate.
 */
package org.ibismoor.gateway.internal.router

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import org.ibismoor.gateway.internal.net.hasStatusLine

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val COMMENT_START = ':'.code.toByte()
private const val ID_FIELD = "id:"

/** A stream with a larger event is aborted, to bound the memory of an exchange. */
private const val MAXIMUM_EVENT_BYTES = 128 * 1024

internal class EventScanner(private val allocator: ByteBufAllocator, startAfterEventId: Long?) {
    private val partial = allocator.buffer()

    /** Start of the line that is being read, and of its bytes without a line end; both count from the reader index. */
    private var lineOffset = 0
    private var searchOffset = 0

    /** True if a line before the current one belongs to an event, and not to comments before it. */
    private var hasField = false

    /** Complete events that were forwarded. */
    var eventCount: Int = 0
        private set

    /** Identifier of the last forwarded event, or the one after which the caller resumes; null without identifiers. */
    var lastEventId: Long? = startAfterEventId
        private set

    /** True once an event held the status line of another answer. It and what follows are not forwarded. */
    var hasForeignAnswer: Boolean = false
        private set

    /** True if the bytes received so far end inside an event or inside a line. */
    val isInsideEvent: Boolean get() = hasField || lineOffset < partial.readableBytes()

    val isEventTooLarge: Boolean get() = partial.readableBytes() > MAXIMUM_EVENT_BYTES

    /**
     * Appends [part] and takes the events that it completes, without those up to [lastEventId]; null if none. With
     * [isChunked] false nothing shows where the upstream's bytes belong, so that another answer may stand within them.
     */
    fun takeEvents(part: ByteBuf, isChunked: Boolean): ByteBuf? {
        partial.writeBytes(part)
        var length = firstEventLength()
        if (length == 0) return null
        val out = allocator.buffer(partial.readableBytes())
        while (length > 0 && !hasForeignAnswer) {
            copyIfNew(partial.readSlice(length), out, isChunked)
            length = firstEventLength()
        }
        partial.discardSomeReadBytes()
        return if (out.isReadable) out else out.release().let { null }
    }

    private fun copyIfNew(event: ByteBuf, out: ByteBuf, isChunked: Boolean) {
        val text = event.toString(Charsets.ISO_8859_1)
        hasForeignAnswer = !isChunked && hasStatusLine(text)
        if (hasForeignAnswer) return
        val eventId = eventIdOf(text)
        val last = lastEventId
        if (eventId != null && last != null && eventId <= last) return
        if (eventId != null) lastEventId = eventId
        eventCount += 1
        out.writeBytes(event)
    }

    /**
     * Length of the first event in [partial] with the comments before it and its blank line; 0 if it is incomplete.
     * Each byte is searched once, so that an event in many small parts takes no more time than a whole one.
     */
    private fun firstEventLength(): Int {
        var lineEnd = nextLineEnd()
        while (lineEnd >= 0) {
            val lineStart = partial.readerIndex() + lineOffset
            val isBlank = isBlank(lineStart, lineEnd)
            val length = lineEnd + 1 - partial.readerIndex()
            if (isBlank && hasField) {
                startEvent()
                return length
            }
            if (!isBlank && partial.getByte(lineStart) != COMMENT_START) hasField = true
            startLine(length)
            lineEnd = nextLineEnd()
        }
        searchOffset = partial.readableBytes()
        return 0
    }

    private fun nextLineEnd(): Int =
        partial.indexOf(partial.readerIndex() + searchOffset, partial.writerIndex(), LINE_FEED)

    private fun startEvent() {
        hasField = false
        startLine(0)
    }

    private fun startLine(offset: Int) {
        lineOffset = offset
        searchOffset = offset
    }

    private fun isBlank(lineStart: Int, lineEnd: Int): Boolean =
        lineEnd == lineStart || lineEnd == lineStart + 1 && partial.getByte(lineStart) == CARRIAGE_RETURN

    /** Comments and blank lines after the last event. They are forwarded only at the end of a complete answer. */
    fun takeRemainder(): ByteBuf = partial.readRetainedSlice(partial.readableBytes())

    /** Discards the bytes of a truncated event, or those of another answer. */
    fun dropPartialEvent() {
        hasForeignAnswer = false
        partial.clear()
        startEvent()
    }

    fun release() {
        partial.release()
    }
}

private fun eventIdOf(event: String): Long? =
    event.lineSequence().firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
