/**
 * Encodes and decodes messages as JSON. Unknown keys are refused, so that a misspelt field is noticed, and a decoding
 * error is a value with a sentence that names the place.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json

/** Configuration of all JSON that processes exchange. Tables have structured keys. */
val fleetJson: Json = Json {
    allowStructuredMapKeys = true
    explicitNulls = false
}

/** For foreign messages, which may have more fields than this project reads. */
val externalJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

fun <T> encodeJson(serializer: SerializationStrategy<T>, value: T): String = fleetJson.encodeToString(serializer, value)

fun <T> decodeJson(serializer: DeserializationStrategy<T>, text: String, json: Json = fleetJson): Decoded<T> =
    try {
        Decoded.Value(json.decodeFromString(serializer, text))
    } catch (e: SerializationException) {
        Decoded.Malformed(firstLine(e))
    } catch (e: IllegalArgumentException) {
        Decoded.Malformed(firstLine(e))
    }

/** Later lines of the message quote the input, which may hold prompts or budgets. */
private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()
