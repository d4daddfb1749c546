/**
 * Reads the answer of an engine part by part. It holds back everything from the chunk that finishes the answer, and
 * takes an answer as whole only if it has usage and the terminator. An answer that reaches its limits is broken off.
 */
package org.ibismoor.router.internal

import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.externalJson
import java.io.IOException
import java.io.InterruptedIOException

private const val MOST_HELD_EVENTS = 16
private const val TOKENS_PER_REPORT = 16L
private const val CHUNKS_WITHOUT_TOKEN = 2
private val broken = ChatPart.Broken(AttemptFailure.BROKEN_ANSWER)

internal class ChatReader(
    private val answer: UpstreamAnswer,
    private val attempt: Attempt,
    private val wantsUsage: Boolean,
) : AutoCloseable {
    private val events = EventReader(answer.source)
    private var held = emptyList<ServerEvent>()
    private var isFinished = false
    private var isWhole = false
    private var usage: ChatUsage? = null
    private var tokens = 0L

    /** Waits for the next part. After an end or a broken answer there is none. */
    fun next(): ChatPart {
        var part: ChatPart? = null
        while (part == null) part = read()
        isWhole = part is ChatPart.End
        return part
    }

    /** Cancels the work at the engine unless the answer is whole. */
    override fun close() = if (isWhole) answer.close() else answer.abort()

    private fun read(): ChatPart? =
        try {
            events.next()?.let { event -> if (event.data == ServerEvent.TERMINATOR) ended() else take(event) }
                ?: broken.takeIf { events.isAtEnd }
        } catch (_: InterruptedIOException) {
            ChatPart.Broken(AttemptFailure.TIMEOUT)
        } catch (_: IOException) {
            broken
        }

    private fun ended(): ChatPart = usage?.let { ChatPart.End(held, it) } ?: broken

    private fun take(event: ServerEvent): ChatPart? =
        when (val chunk = decodeJson(ChatChunk.serializer(), event.data, externalJson)) {
            is Decoded.Malformed -> broken
            is Decoded.Value -> take(event, chunk.value)
        }

    private fun take(event: ServerEvent, chunk: ChatChunk): ChatPart? {
        usage = chunk.usage ?: usage
        isFinished = isFinished || chunk.isFinish || chunk.isUsage
        return when {
            chunk.error != null || isOverLimit() -> broken
            isFinished -> hold(event, chunk)
            else -> content(event)
        }
    }

    private fun hold(event: ServerEvent, chunk: ChatChunk): ChatPart? {
        if (wantsUsage || !chunk.isUsage) held = held + event
        return broken.takeIf { held.size > MOST_HELD_EVENTS }
    }

    private fun content(event: ServerEvent): ChatPart {
        tokens++
        if (tokens % TOKENS_PER_REPORT == 0L) attempt.reportProgress(tokens)
        return ChatPart.Content(event)
    }

    /** Each chunk has at least one token, but for the first and the last one, which may have none. */
    private fun isOverLimit(): Boolean {
        val limits = attempt.dispatch
        return tokens > limits.answerTokenBound + CHUNKS_WITHOUT_TOKEN || (usage?.cost ?: 0) > limits.costLimit
    }
}
