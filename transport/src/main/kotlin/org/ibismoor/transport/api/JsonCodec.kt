/**
 * Encodes and decodes messages as JSON. Unknown keys are rejected, so that a misspelt field is detected. A decoding
 * error is returned as a value that names its position.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json

/** JSON format of messages between processes. Tables have structured keys. */
val fleetJson: Json = Json {
    allowStructuredMapKeys = true
    explicitNulls = false
}

/** JSON format of external systems, whose messages may have fields that this project does not read. */
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

/** Omits the later lines, which quote the input and may contain prompts or budgets. */
private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()
