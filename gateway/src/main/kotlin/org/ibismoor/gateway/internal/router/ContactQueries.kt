/**
 * Asks other routers whether they have contact with the leader, and answers the same question. A lost answer is not
 * asked for again before the next round.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.serialization.Serializable
import org.ibismoor.forwarding.api.AskContact
import org.ibismoor.forwarding.api.ContactAnswered
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 300L
private const val STATUS_OK = 200

@Serializable
internal data class ContactStatus(val hasLeader: Boolean)

internal class ContactQueries(
    private val client: JsonClient,
    private val port: Int,
    private val hasLeader: () -> Boolean,
    private val post: (ForwardingMessage) -> Unit,
) {
    fun ask(effect: AskContact) = effect.addresses.forEach { address ->
        val peer = "${address.substringBeforeLast(':')}:$port"
        client.call(peer, "POST", InternalPaths.CONTACT, "", TIMEOUT_MILLIS)
            .thenApply { InternalJson.decodeFromString<ContactStatus>(it.body) }
            .thenAccept { post(ContactAnswered(address, it.hasLeader)) }
    }

    fun handle(): CompletableFuture<SimpleAnswer> =
        CompletableFuture.completedFuture(
            SimpleAnswer(STATUS_OK, InternalJson.encodeToString(ContactStatus(hasLeader()))),
        )
}
