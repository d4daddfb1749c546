/**
 * Fields of a chunk of a streamed chat completion that the router reads. All others are forwarded unread.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

@Serializable
internal data class ChatChunk(
    val choices: List<ChatChoice> = emptyList(),
    val usage: ChatUsage? = null,
    val error: JsonElement? = null,
) {
    val isFinish: Boolean get() = choices.any { it.finishReason != null }

    /** The chunk that carries only the usage of the complete answer. */
    val isUsage: Boolean get() = choices.isEmpty() && usage != null
}

@Serializable
internal data class ChatChoice(@SerialName("finish_reason") val finishReason: String? = null)

/** Usage in tokens; the cost of an answer in budget tokens is its total. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
) {
    val cost: Long get() = promptTokens + completionTokens
}
