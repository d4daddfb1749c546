/**
 * What an engine stand-in reads of a chat completion request.
 */
package org.ibismoor.standin.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Characters of a prompt that make one token. */
private const val CHARACTERS_PER_TOKEN = 4

@Serializable
internal data class CompletionRequest(
    val model: String,
    val messages: List<JsonElement>,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("max_completion_tokens") val maximumCompletionTokens: Int? = null,
    @SerialName("stream_options") val streamOptions: StreamOptions = StreamOptions(),
) {
    val tokenBound: Int get() = maximumCompletionTokens ?: maximumTokens ?: Int.MAX_VALUE
    val promptTokens: Int get() = messages.sumOf { it.toString().length } / CHARACTERS_PER_TOKEN + 1

    /** Equal for equal prompts, so that a test can tell whose answer it got. */
    val mark: String get() = Integer.toHexString(messages.toString().hashCode())
}

@Serializable
internal data class StreamOptions(@SerialName("include_usage") val includeUsage: Boolean = false)
