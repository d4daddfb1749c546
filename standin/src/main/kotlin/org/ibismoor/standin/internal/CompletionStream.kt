/**
 * The streamed answer of an engine stand-in: a chunk for each token, the chunk that finishes it, the usage and the
 * terminator. The slot of the engine is given back when the answer ends in any way.
 */
package org.ibismoor.standin.internal

import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.transport.api.PartStream
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean

internal class CompletionStream(
    private val asked: CompletionRequest,
    private val settings: EngineSettings,
    private val onEnd: (isCompleted: Boolean) -> Unit,
) : PartStream() {
    private val startNanos = System.nanoTime()
    private val isEnded = AtomicBoolean()
    private val length = lengthOf()
    private var index = 0

    @Volatile
    private var isCancelled = false

    /** Stops before the next token. */
    fun cancel() {
        isCancelled = true
        end(isCompleted = false)
    }

    override fun nextPart(): ByteArray? {
        if (index > length) return null
        if (index < length) settings.pace.await(index, startNanos)
        if (isCancelled || index == settings.faults.breakAfterChunks) throw IOException("broken on purpose")
        val part = if (index < length) token() else last()
        index++
        return part.toByteArray()
    }

    override fun close() = end(isCompleted = index > length)

    private fun lengthOf(): Int =
        if (settings.faults.ignoresTokenBound) settings.answerTokens else minOf(settings.answerTokens, asked.tokenBound)

    private fun token(): String = event(choice("{\"content\":\"${asked.mark}-$index \"}", "null"))

    private fun last(): String {
        val usage = "\"usage\":{\"prompt_tokens\":${asked.promptTokens},\"completion_tokens\":$length," +
            "\"total_tokens\":${asked.promptTokens + length}}"
        val hasUsage = asked.streamOptions.includeUsage && !settings.faults.hasNoUsage
        val usageEvent = if (hasUsage) event("\"choices\":[],$usage") else ""
        return event(choice("{}", "\"stop\"")) + usageEvent + "data: [DONE]\n\n"
    }

    private fun choice(delta: String, finishReason: String): String =
        "\"choices\":[{\"index\":0,\"delta\":$delta,\"finish_reason\":$finishReason}]"

    private fun event(fields: String): String =
        "data: {\"id\":\"chatcmpl-${asked.mark}\",\"object\":\"chat.completion.chunk\",\"created\":0," +
            "\"model\":\"${asked.model}\",$fields}\n\n"

    private fun end(isCompleted: Boolean) {
        if (isEnded.compareAndSet(false, true)) onEnd(isCompleted)
    }
}
