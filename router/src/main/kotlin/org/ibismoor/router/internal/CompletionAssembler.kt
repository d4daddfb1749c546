/**
 * Assembles a non-streamed chat completion from the chunks of a streamed answer. Strings are concatenated, list items
 * are merged by their index, and for other fields the last value is kept.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson

/** String fields that a chunk carries as a complete value, so they are replaced and not concatenated. */
private val replacedFields =
    setOf("id", "object", "model", "role", "type", "name", "finish_reason", "system_fingerprint")

internal class CompletionAssembler {
    private var merged = JsonObject(emptyMap())

    fun addChunk(event: ServerEvent) {
        val chunk = decodeJson(JsonObject.serializer(), event.data)
        if (chunk is Decoded.Value) merged = merge(merged, chunk.value)
    }

    fun completion(): JsonObject {
        val choices = (merged["choices"] as? JsonArray).orEmpty().filterIsInstance<JsonObject>().map { choice ->
            val message = mapOf("role" to JsonPrimitive("assistant")) + (choice["delta"] as? JsonObject).orEmpty()
            JsonObject(choice - "delta" + ("message" to JsonObject(message)))
        }
        return JsonObject(merged + mapOf("object" to JsonPrimitive("chat.completion"), "choices" to JsonArray(choices)))
    }

    private fun merge(old: JsonObject, new: JsonObject): JsonObject =
        JsonObject(old + new.mapValues { (name, value) -> old[name]?.let { merge(name, it, value) } ?: value })

    private fun merge(name: String, old: JsonElement, new: JsonElement): JsonElement =
        when {
            new is JsonNull -> old
            old is JsonObject && new is JsonObject -> merge(old, new)
            old is JsonArray && new is JsonArray -> merge(old, new)
            isString(old) && isString(new) && name !in replacedFields ->
                concatenated(old as JsonPrimitive, new as JsonPrimitive)
            else -> new
        }

    private fun merge(old: JsonArray, new: JsonArray): JsonArray =
        JsonArray(
            new.fold(old.toList()) { items, item ->
                val position = indexOf(item)?.let { index -> items.indexOfFirst { indexOf(it) == index } } ?: NOT_FOUND
                if (position < 0) items + item else items.withItemAt(position, merge("", items[position], item))
            },
        )

    private fun indexOf(item: JsonElement): String? = ((item as? JsonObject)?.get("index") as? JsonPrimitive)?.content

    private fun isString(element: JsonElement): Boolean = (element as? JsonPrimitive)?.isString ?: false

    private fun concatenated(old: JsonPrimitive, new: JsonPrimitive) = JsonPrimitive(old.content + new.content)

    private fun <T> List<T>.withItemAt(position: Int, item: T): List<T> = take(position) + item + drop(position + 1)

    private companion object {
        const val NOT_FOUND = -1
    }
}
