/**
 * Asks other routers where streams began, and answers the same question. A lost answer is not asked for again, since
 * the leader is asked too.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.serialization.Serializable
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.forwarding.api.AskOrigins
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.OriginsAnswered
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 300L
private const val STATUS_OK = 200

@Serializable
internal data class OriginQuestion(val streams: List<StreamDigest>)

@Serializable
internal data class KnownOrigins(val origins: Map<StreamDigest, StreamOrigin> = emptyMap())

internal class OriginQueries(
    private val client: JsonClient,
    private val port: Int,
    private val knownOrigins: (List<StreamDigest>) -> Map<StreamDigest, StreamOrigin>,
    private val post: (ForwardingMessage) -> Unit,
) {
    fun ask(effect: AskOrigins) {
        val body = InternalJson.encodeToString(OriginQuestion(effect.streams))
        effect.addresses.forEach { address ->
            val peer = "${address.substringBeforeLast(':')}:$port"
            client.call(peer, "POST", InternalPaths.STREAM_ORIGINS, body, TIMEOUT_MILLIS)
                .thenApply { InternalJson.decodeFromString<KnownOrigins>(it.body) }
                .thenAccept { if (it.origins.isNotEmpty()) post(OriginsAnswered(it.origins)) }
        }
    }

    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer> {
        val question = InternalJson.decodeFromString<OriginQuestion>(request.body)
        val answer = InternalJson.encodeToString(KnownOrigins(knownOrigins(question.streams)))
        return CompletableFuture.completedFuture(SimpleAnswer(STATUS_OK, answer))
    }
}
