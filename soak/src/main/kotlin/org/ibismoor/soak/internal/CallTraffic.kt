/**
 * Sends the requests of callers and of the operator, and turns the answers into messages.
 */
package org.ibismoor.soak.internal

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.ibismoor.core.api.Timestamp
import org.ibismoor.platform.api.PlatformDocuments
import org.ibismoor.platform.api.PlatformFields
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.internal.net.ClientRequest
import org.ibismoor.soak.internal.net.ClientResult
import org.ibismoor.soak.internal.net.TrafficClient
import org.ibismoor.soak.internal.world.CallEnd
import org.ibismoor.soak.internal.world.CallEnded
import org.ibismoor.soak.internal.world.ConfigurationAnswered
import org.ibismoor.soak.internal.world.DirectoryAnswered
import org.ibismoor.soak.internal.world.FLEET_HOST
import org.ibismoor.soak.internal.world.LookUpRouters
import org.ibismoor.soak.internal.world.PublicationAnswered
import org.ibismoor.soak.internal.world.PublishConfiguration
import org.ibismoor.soak.internal.world.ReadConfiguration
import org.ibismoor.soak.internal.world.SendCall
import org.ibismoor.soak.internal.world.SoakMessage

private const val OPERATOR_TIMEOUT_MILLIS = 1_000L
private const val DIRECTORY_TIMEOUT_MILLIS = 1_000L
private const val MAXIMUM_REDIRECTIONS = 2
private const val MILLIS_PER_SECOND = 1_000
private const val TEMPORARY_REDIRECT = 307
private val EVENT_ID = Regex("""^id: (\d+)$""", RegexOption.MULTILINE)

internal class CallTraffic(
    group: EventLoopGroup,
    private val layout: FleetLayout,
    private val documents: PlatformDocuments,
    private val fields: PlatformFields,
    private val post: (SoakMessage) -> Unit,
) {
    private val client = TrafficClient(group, layout.callerHost)

    fun lookUp(effect: LookUpRouters) {
        val request = ClientRequest(
            owner = "directory-${effect.domain}",
            address = effect.address,
            method = HttpMethod.GET,
            path = documents.directoryPath(FLEET_HOST, effect.domain),
            headers = DefaultHttpHeaders(),
            timeoutMillis = DIRECTORY_TIMEOUT_MILLIS,
        )
        client.send(request) { result ->
            val body = result.body.decodeToString().takeIf { result.status == OK && result.isComplete }
            post(DirectoryAnswered(effect.domain, body?.let(documents::readDirectory)))
        }
    }

    fun send(effect: SendCall) {
        val headers: HttpHeaders = DefaultHttpHeaders().set(HttpHeaderNames.HOST, FLEET_HOST)
        fields.writeCall(effect.fields, headers)
        val request = ClientRequest(
            owner = "caller-${effect.caller}",
            address = effect.address,
            method = HttpMethod.POST,
            path = effect.path,
            headers = headers,
            timeoutMillis = effect.patienceMillis,
            isNewConnection = effect.isNewConnection,
        )
        client.send(request) { post(CallEnded(effect.caller, effect.request, endOf(it))) }
    }

    private fun endOf(result: ClientResult): CallEnd {
        val isStream = result.headers?.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith("text/event-stream")
        val body = result.body.decodeToString()
        return CallEnd(
            status = result.status,
            answer = result.headers?.let(fields::readMark),
            isComplete = result.isComplete,
            bodyDigest = digestOf(result.body),
            events = if (isStream) eventIdsOf(body) else emptyList(),
            retryAfterMillis = result.headers?.get(HttpHeaderNames.RETRY_AFTER)?.toDoubleOrNull()
                ?.let { (it * MILLIS_PER_SECOND).toLong() },
            isTimedOut = result.isTimedOut,
            isConnectionOpen = result.isConnectionOpen,
        )
    }

    /** Events that arrived whole. */
    private fun eventIdsOf(body: String): List<Long> =
        EVENT_ID.findAll(body.substringBeforeLast("\n\n", "")).map { it.groupValues[1].toLong() }.toList()

    fun publish(effect: PublishConfiguration) {
        val request = operatorRequest("operator", effect.address, HttpMethod.POST, documents.publishPath)
            .copy(body = effect.document)
        follow(request, MAXIMUM_REDIRECTIONS) { _, result ->
            post(PublicationAnswered(effect.publication, result.status.takeIf { result.isComplete }))
        }
    }

    fun read(effect: ReadConfiguration) {
        val request = operatorRequest("reader", effect.address, HttpMethod.GET, documents.readPath)
        follow(request, MAXIMUM_REDIRECTIONS) { address, result ->
            val host = address.substringBeforeLast(':')
            val vm = layout.controlVms.firstOrNull { layout.publicHost(it) == host }
            if (vm != null) post(configurationAnswered(ProcessName(controlName(vm)), effect.sentAt, result))
        }
    }

    private fun configurationAnswered(control: ProcessName, sentAt: Timestamp, result: ClientResult) =
        ConfigurationAnswered(
            control = control,
            sentAt = sentAt,
            version = result.body.decodeToString().takeIf { result.status == OK && result.isComplete }
                ?.let(documents::readVersion),
            digest = digestOf(result.body),
        )

    private fun operatorRequest(owner: String, address: String, method: HttpMethod, path: String): ClientRequest =
        ClientRequest(owner, address, method, path, DefaultHttpHeaders(), timeoutMillis = OPERATOR_TIMEOUT_MILLIS)

    /** Calls [onEnd] with the address that answered in the end. */
    private fun follow(request: ClientRequest, redirections: Int, onEnd: (String, ClientResult) -> Unit) {
        client.send(request) { result ->
            val location = result.headers?.get(HttpHeaderNames.LOCATION)
            if (result.status == TEMPORARY_REDIRECT && location != null && redirections > 0) {
                val address = location.removePrefix("http://").substringBefore('/')
                follow(request.copy(address = address), redirections - 1, onEnd)
            } else {
                onEnd(request.address, result)
            }
        }
    }
}
