/**
 * A chat completion request of a caller, and the modified body that is sent to the engine: always streamed and with
 * usage, since the usage determines the cost of the answer.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import org.ibismoor.routing.api.ModelTarget
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson

/** Upper bound of the tokens that a chat template adds to each message. */
private const val TEMPLATE_TOKENS_PER_MESSAGE = 8L
private const val MAXIMUM_PREFIXES = 16
private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private val answerBoundFields = listOf("max_completion_tokens", "max_tokens")

/** Fields besides the messages that an engine includes in the prompt. */
private val promptFields = listOf("tools", "functions", "response_format")

internal class ChatCall private constructor(private val fields: JsonObject, private val messages: List<JsonElement>) {
    val isStreamed: Boolean = booleanField(fields, "stream")

    /** Whether the caller of a streamed answer requested the chunk with the usage. */
    val wantsUsage: Boolean =
        (fields["stream_options"] as? JsonObject)?.let { booleanField(it, "include_usage") } ?: false

    val target: ModelTarget = ModelTarget(
        model = (fields.getValue("model") as JsonPrimitive).content,
        promptTokenBound = promptTokenBound(),
        answerTokenBound = answerBoundField()?.let { (fields[it] as JsonPrimitive).intOrNull },
        prefixHashes = prefixHashes(),
    )

    fun upstreamBody(answerTokenBound: Int): String {
        val changes = mapOf(
            "stream" to JsonPrimitive(true),
            "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            (answerBoundField() ?: answerBoundFields.last()) to JsonPrimitive(answerTokenBound),
        )
        return JsonObject(fields + changes).toString()
    }

    private fun answerBoundField(): String? =
        answerBoundFields.firstOrNull { (fields[it] as? JsonPrimitive)?.intOrNull != null }

    /** The number of bytes bounds the number of tokens, since a token covers at least one byte. */
    private fun promptTokenBound(): Long {
        val otherFields = promptFields.mapNotNull { fields[it] }
        return (messages + otherFields).sumOf { it.toString().toByteArray().size + TEMPLATE_TOKENS_PER_MESSAGE }
    }

    private fun prefixHashes(): List<Long> =
        messages.take(MAXIMUM_PREFIXES).runningFold(FNV_OFFSET_BASIS) { hash, message ->
            message.toString().fold(hash) { h, char -> (h xor char.code.toLong()) * FNV_PRIME }
        }.drop(1)

    companion object {
        fun parse(body: String): Parsed<ChatCall> =
            when (val decoded = decodeJson(JsonObject.serializer(), body)) {
                is Decoded.Malformed -> Parsed.Malformed("the body is not a JSON object: ${decoded.problem}")
                is Decoded.Value -> validate(decoded.value)
            }

        private fun validate(fields: JsonObject): Parsed<ChatCall> {
            val messages = fields["messages"] as? JsonArray
            return when {
                !isString(fields["model"]) -> Parsed.Malformed("model must be a string")
                messages.isNullOrEmpty() -> Parsed.Malformed("messages must be a list with at least one message")
                messages.any { it !is JsonObject } -> Parsed.Malformed("each message must be an object")
                !isOptionalBoolean(fields["stream"]) -> Parsed.Malformed("stream must be true or false")
                answerBoundFields.any { !isOptionalPositive(fields[it]) } ->
                    Parsed.Malformed("max_tokens and max_completion_tokens must be positive integers")
                !isOptionalOne(fields["n"]) -> Parsed.Malformed("n must be 1")
                else -> Parsed.Value(ChatCall(fields, messages))
            }
        }

        private fun isString(element: JsonElement?): Boolean = (element as? JsonPrimitive)?.isString ?: false

        private fun isOptionalBoolean(element: JsonElement?): Boolean =
            isAbsent(element) || (element as? JsonPrimitive)?.booleanOrNull != null

        private fun isOptionalPositive(element: JsonElement?): Boolean =
            isAbsent(element) || ((element as? JsonPrimitive)?.intOrNull ?: 0) > 0

        private fun isOptionalOne(element: JsonElement?): Boolean =
            isAbsent(element) || (element as? JsonPrimitive)?.intOrNull == 1

        private fun isAbsent(element: JsonElement?): Boolean =
            element == null || element == kotlinx.serialization.json.JsonNull

        private fun booleanField(fields: JsonObject, name: String): Boolean =
            (fields[name] as? JsonPrimitive)?.booleanOrNull ?: false
    }
}
