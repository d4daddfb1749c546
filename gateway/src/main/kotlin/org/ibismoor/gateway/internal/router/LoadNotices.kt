/**
 * Exchanges notices of the load that each router puts on upstreams. Each notice replaces the one before, so at most one
 * is in flight to each router, and a lost notice is counted and not sent again.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.LoadNoticeReceived
import org.ibismoor.forwarding.api.SendLoadNotice
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

private const val TIMEOUT_MILLIS = 200L
private const val STATUS_OK = 200

@Serializable
internal data class LoadNotice(
    val from: String,
    @SerialName("unreadTokens") val pendingPromptTokens: Map<UpstreamId, Long>,
)

internal class LoadNotices(
    private val client: JsonClient,
    private val port: Int,
    private val meters: RouterMeters,
    private val post: (ForwardingMessage) -> Unit,
) {
    private val inFlight = ConcurrentHashMap.newKeySet<String>()

    fun send(effect: SendLoadNotice) {
        val body = InternalJson.encodeToString(LoadNotice(effect.from, effect.pendingPromptTokens))
        effect.addresses.filter(inFlight::add).forEach { address ->
            val peer = "${address.substringBeforeLast(':')}:$port"
            client.call(peer, "POST", InternalPaths.LOAD_NOTICE, body, TIMEOUT_MILLIS).whenComplete { _, failure ->
                inFlight.remove(address)
                if (failure != null) meters.countLostNotice()
            }
        }
    }

    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer> {
        val notice = InternalJson.decodeFromString<LoadNotice>(request.body)
        post(LoadNoticeReceived(notice.from, notice.pendingPromptTokens.toPersistentHashMap()))
        return CompletableFuture.completedFuture(SimpleAnswer(STATUS_OK))
    }
}
