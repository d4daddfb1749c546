/**
 * Reads the streamed answer of an engine. Events from the finishing chunk on are held back until the charge is durable.
 * An answer is complete only with usage and the terminator; one that exceeds its limits is aborted.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.externalJson
import java.io.IOException
import java.io.InterruptedIOException

private const val MAXIMUM_HELD_EVENTS = 16
private const val TOKENS_PER_REPORT = 16L
private const val MAXIMUM_CHUNKS_WITHOUT_TOKEN = 2
private val brokenAnswer = ChatPart.Broken(AttemptFailure.BROKEN_ANSWER)

internal class ChatReader(
    private val answer: UpstreamAnswer,
    private val attempt: Attempt,
    private val wantsUsage: Boolean,
) : AutoCloseable {
    private val events = EventReader(answer.source)
    private var heldEvents = emptyList<ServerEvent>()
    private var isFinished = false
    private var isComplete = false
    private var usage: ChatUsage? = null
    private var tokens = 0L

    /** Waits for the next part. [ChatPart.End] and [ChatPart.Broken] are the last ones. */
    fun next(): ChatPart {
        var part: ChatPart? = null
        while (part == null) part = readPart()
        isComplete = part is ChatPart.End
        return part
    }

    /** Cancels the work at the engine unless the answer is complete. */
    override fun close() = if (isComplete) answer.close() else answer.abort()

    private fun readPart(): ChatPart? =
        try {
            events.next()?.let { if (it.data == ServerEvent.TERMINATOR) finalPart() else processEvent(it) }
                ?: brokenAnswer.takeIf { events.isAtEnd }
        } catch (_: InterruptedIOException) {
            ChatPart.Broken(AttemptFailure.TIMEOUT)
        } catch (_: IOException) {
            brokenAnswer
        }

    private fun finalPart(): ChatPart = usage?.let { ChatPart.End(heldEvents, it) } ?: brokenAnswer

    private fun processEvent(event: ServerEvent): ChatPart? =
        when (val chunk = decodeJson(ChatChunk.serializer(), event.data, externalJson)) {
            is Decoded.Malformed -> brokenAnswer
            is Decoded.Value -> processChunk(event, chunk.value)
        }

    private fun processChunk(event: ServerEvent, chunk: ChatChunk): ChatPart? {
        usage = chunk.usage ?: usage
        isFinished = isFinished || chunk.isFinish || chunk.isUsage
        return when {
            chunk.error != null || isOverLimit() -> brokenAnswer
            isFinished -> holdBack(event, chunk)
            else -> contentPart(event)
        }
    }

    private fun holdBack(event: ServerEvent, chunk: ChatChunk): ChatPart? {
        if (wantsUsage || !chunk.isUsage) heldEvents = heldEvents + event
        return brokenAnswer.takeIf { heldEvents.size > MAXIMUM_HELD_EVENTS }
    }

    private fun contentPart(event: ServerEvent): ChatPart {
        tokens++
        if (tokens % TOKENS_PER_REPORT == 0L) attempt.reportProgress(tokens)
        return ChatPart.Content(event)
    }

    /** Every chunk has at least one token, except that the first and the last one may have none. */
    private fun isOverLimit(): Boolean {
        val limits = attempt.dispatch
        return tokens > limits.answerTokenBound + MAXIMUM_CHUNKS_WITHOUT_TOKEN || (usage?.cost ?: 0) > limits.costLimit
    }
}
