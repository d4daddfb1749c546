/**
 * Makes the answer to a caller that did not ask for a stream from the chunks of a streamed answer: text is joined,
 * lists are joined by the index of their items, and of other fields the last value counts.
 */
package org.ibismoor.router.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.decodeJson

/** Text that each chunk repeats as a whole. */
private val wholeNames = setOf("id", "object", "model", "role", "type", "name", "finish_reason", "system_fingerprint")

internal class CompletionAssembler {
    private var merged = JsonObject(emptyMap())

    fun add(event: ServerEvent) {
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
            isText(old) && isText(new) && name !in wholeNames -> joined(old as JsonPrimitive, new as JsonPrimitive)
            else -> new
        }

    private fun merge(old: JsonArray, new: JsonArray): JsonArray =
        JsonArray(
            new.fold(old.toList()) { items, item ->
                val place = indexOf(item)?.let { index -> items.indexOfFirst { indexOf(it) == index } } ?: NOWHERE
                if (place < 0) items + item else items.replaced(place, merge("", items[place], item))
            },
        )

    private fun indexOf(item: JsonElement): String? = ((item as? JsonObject)?.get("index") as? JsonPrimitive)?.content

    private fun isText(element: JsonElement): Boolean = (element as? JsonPrimitive)?.isString ?: false

    private fun joined(old: JsonPrimitive, new: JsonPrimitive) = JsonPrimitive(old.content + new.content)

    private fun <T> List<T>.replaced(place: Int, item: T): List<T> = take(place) + item + drop(place + 1)

    private companion object {
        const val NOWHERE = -1
    }
}
