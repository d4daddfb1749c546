/**
 * The fields of a chat completion request that an engine stand-in uses.
 */
package org.ibismoor.standin.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Prompt characters counted as one token. */
private const val CHARACTERS_PER_TOKEN = 4

@Serializable
internal data class CompletionRequest(
    val model: String,
    val messages: List<JsonElement>,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("max_completion_tokens") val maximumCompletionTokens: Int? = null,
    @SerialName("stream_options") val streamOptions: StreamOptions = StreamOptions(),
) {
    val tokenLimit: Int get() = maximumCompletionTokens ?: maximumTokens ?: Int.MAX_VALUE
    val promptTokens: Int get() = messages.sumOf { it.toString().length } / CHARACTERS_PER_TOKEN + 1

    /** Equal for equal prompts, so that a test can tell which request an answer belongs to. */
    val promptHash: String get() = Integer.toHexString(messages.toString().hashCode())
}

@Serializable
internal data class StreamOptions(@SerialName("include_usage") val includeUsage: Boolean = false)
