/**
 * Carries between routers what each has sent to upstreams. A notice is worth little once the next one is known, so one
 * at a time is under way to each router, and a lost one is only counted.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.collections.immutable.toPersistentHashMap
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
private const val SUCCESS = 200

@Serializable
internal data class UseNotice(val from: String, val unreadTokens: Map<UpstreamId, Long>)

internal class UseNotices(
    private val client: JsonClient,
    private val port: Int,
    private val meters: RouterMeters,
    private val decisions: (ForwardingMessage) -> Unit,
) {
    private val open = ConcurrentHashMap.newKeySet<String>()

    fun tell(effect: SendLoadNotice) {
        val body = InternalJson.encodeToString(UseNotice(effect.from, effect.pendingPromptTokens))
        effect.addresses.filter(open::add).forEach { address ->
            val peer = "${address.substringBeforeLast(':')}:$port"
            client.call(peer, "POST", InternalPaths.USE, body, TIMEOUT_MILLIS).whenComplete { _, failure ->
                open.remove(address)
                if (failure != null) meters.noticeLost()
            }
        }
    }

    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer> {
        val notice = InternalJson.decodeFromString<UseNotice>(request.body)
        decisions(LoadNoticeReceived(notice.from, notice.unreadTokens.toPersistentHashMap()))
        return CompletableFuture.completedFuture(SimpleAnswer(SUCCESS))
    }
}
