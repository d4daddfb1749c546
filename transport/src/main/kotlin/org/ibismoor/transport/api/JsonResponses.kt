/**
 * HTTP requests and responses with a JSON body.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason

const val JSON_CONTENT_TYPE: String = "application/json"

fun <T> jsonResponse(status: Status, serializer: SerializationStrategy<T>, value: T): Response =
    Response(status).header("Content-Type", JSON_CONTENT_TYPE).body(encodeJson(serializer, value))

/** Passes the decoded body to [respond], or refuses a malformed body. */
fun <T> Request.withJsonBody(serializer: DeserializationStrategy<T>, respond: (T) -> Response): Response =
    when (val body = decodeJson(serializer, bodyString())) {
        is Decoded.Value -> respond(body.value)
        is Decoded.Malformed -> refusalResponse(RefusalReason.MALFORMED_REQUEST, Outcome.NOT_RUN, body.problem)
    }
