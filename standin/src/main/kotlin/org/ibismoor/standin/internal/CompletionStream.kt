/**
 * The streamed answer of an engine stand-in: one chunk per token, a chunk with the finish reason, the usage and the
 * terminator. [onEnd] runs exactly once, however the answer ends, so that the engine can release its slot.
 */
package org.ibismoor.standin.internal

import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.transport.api.PartStream
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean

internal class CompletionStream(
    private val request: CompletionRequest,
    private val settings: EngineSettings,
    private val onEnd: (isCompleted: Boolean) -> Unit,
) : PartStream() {
    private val startNanos = System.nanoTime()
    private val hasEnded = AtomicBoolean()
    private val length = answerLength()
    private var index = 0

    @Volatile
    private var isCancelled = false

    /** Ends the answer before its next token. */
    fun cancel() {
        isCancelled = true
        finish(isCompleted = false)
    }

    override fun nextPart(): ByteArray? {
        if (index > length) return null
        if (index < length) settings.pace.awaitToken(index, startNanos)
        if (isCancelled || index == settings.faults.breakAfterChunks) {
            throw IOException("answer broken off after $index chunks: caller disconnected or fault injected")
        }
        val part = if (index < length) tokenChunk() else finalChunks()
        index++
        return part.toByteArray()
    }

    override fun close() = finish(isCompleted = index > length)

    private fun answerLength(): Int =
        if (settings.faults.ignoresTokenLimit) {
            settings.answerTokens
        } else {
            minOf(settings.answerTokens, request.tokenLimit)
        }

    private fun tokenChunk(): String = chunk(choiceField("{\"content\":\"${request.promptHash}-$index \"}", "null"))

    private fun finalChunks(): String {
        val usage = "\"usage\":{\"prompt_tokens\":${request.promptTokens},\"completion_tokens\":$length," +
            "\"total_tokens\":${request.promptTokens + length}}"
        val hasUsage = request.streamOptions.includeUsage && !settings.faults.omitsUsage
        val usageChunk = if (hasUsage) chunk("\"choices\":[],$usage") else ""
        return chunk(choiceField("{}", "\"stop\"")) + usageChunk + "data: [DONE]\n\n"
    }

    private fun choiceField(delta: String, finishReason: String): String =
        "\"choices\":[{\"index\":0,\"delta\":$delta,\"finish_reason\":$finishReason}]"

    private fun chunk(fields: String): String =
        "data: {\"id\":\"chatcmpl-${request.promptHash}\",\"object\":\"chat.completion.chunk\",\"created\":0," +
            "\"model\":\"${request.model}\",$fields}\n\n"

    private fun finish(isCompleted: Boolean) {
        if (hasEnded.compareAndSet(false, true)) onEnd(isCompleted)
    }
}
