/**
 * A chat completion as a caller asks for it, and the body that the engine gets instead: always streamed and with
 * usage, since the usage is the cost of the answer.
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

/** A chat template adds at most this many tokens to each message. */
private const val TOKENS_BESIDE_MESSAGE = 8L
private const val MOST_PREFIXES = 16
private const val HASH_START = -0x340d631b7bdddcdbL
private const val HASH_FACTOR = 0x100000001b3L
private val boundNames = listOf("max_completion_tokens", "max_tokens")

/** Fields besides the messages that an engine turns into a part of the prompt. */
private val promptNames = listOf("tools", "functions", "response_format")

internal class ChatCall private constructor(private val fields: JsonObject, private val messages: List<JsonElement>) {
    val isStreamed: Boolean = flag(fields, "stream")

    /** Whether the caller of a streamed answer wants the chunk with the usage. */
    val wantsUsage: Boolean = (fields["stream_options"] as? JsonObject)?.let { flag(it, "include_usage") } ?: false

    val target: ModelTarget = ModelTarget(
        model = (fields.getValue("model") as JsonPrimitive).content,
        promptTokenBound = promptTokenBound(),
        answerTokenBound = boundName()?.let { (fields[it] as JsonPrimitive).intOrNull },
        prefixHashes = prefixHashes(),
    )

    fun upstreamBody(answerTokenBound: Int): String {
        val changes = mapOf(
            "stream" to JsonPrimitive(true),
            "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            (boundName() ?: boundNames.last()) to JsonPrimitive(answerTokenBound),
        )
        return JsonObject(fields + changes).toString()
    }

    private fun boundName(): String? = boundNames.firstOrNull { (fields[it] as? JsonPrimitive)?.intOrNull != null }

    /** A token covers at least one byte. */
    private fun promptTokenBound(): Long {
        val others = promptNames.mapNotNull { fields[it] }
        return (messages + others).sumOf { it.toString().toByteArray().size + TOKENS_BESIDE_MESSAGE }
    }

    private fun prefixHashes(): List<Long> =
        messages.take(MOST_PREFIXES).runningFold(HASH_START) { hash, message ->
            message.toString().fold(hash) { h, char -> (h xor char.code.toLong()) * HASH_FACTOR }
        }.drop(1)

    companion object {
        fun parse(body: String): Parsed<ChatCall> =
            when (val decoded = decodeJson(JsonObject.serializer(), body)) {
                is Decoded.Malformed -> Parsed.Malformed("the body is no JSON object: ${decoded.problem}")
                is Decoded.Value -> check(decoded.value)
            }

        private fun check(fields: JsonObject): Parsed<ChatCall> {
            val messages = fields["messages"] as? JsonArray
            return when {
                !isText(fields["model"]) -> Parsed.Malformed("model must be a string")
                messages.isNullOrEmpty() -> Parsed.Malformed("messages must be a list with at least one message")
                messages.any { it !is JsonObject } -> Parsed.Malformed("each message must be an object")
                !isFlag(fields["stream"]) -> Parsed.Malformed("stream must be true or false")
                boundNames.any { !isBound(fields[it]) } -> Parsed.Malformed("max_tokens must be a positive number")
                !isOne(fields["n"]) -> Parsed.Malformed("n must be 1")
                else -> Parsed.Value(ChatCall(fields, messages))
            }
        }

        private fun isText(element: JsonElement?): Boolean = (element as? JsonPrimitive)?.isString ?: false

        private fun isFlag(element: JsonElement?): Boolean =
            isAbsent(element) || (element as? JsonPrimitive)?.booleanOrNull != null

        private fun isBound(element: JsonElement?): Boolean =
            isAbsent(element) || ((element as? JsonPrimitive)?.intOrNull ?: 0) > 0

        private fun isOne(element: JsonElement?): Boolean =
            isAbsent(element) || (element as? JsonPrimitive)?.intOrNull == 1

        private fun isAbsent(element: JsonElement?): Boolean =
            element == null || element == kotlinx.serialization.json.JsonNull

        private fun flag(fields: JsonObject, name: String): Boolean =
            (fields[name] as? JsonPrimitive)?.booleanOrNull ?: false
    }
}
