/**
 * Client of the internal HTTP endpoints of control processes.
 */
package org.ibismoor.operator.internal

import org.ibismoor.declarations.api.Publication
import org.ibismoor.declarations.api.PublicationAnswer
import org.ibismoor.operator.api.ControlPort
import org.ibismoor.transport.api.CallResult
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.LedgerView
import org.ibismoor.transport.api.createInternalClient
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.getJson
import java.net.URLEncoder

/** Above the 10 s within which a control process answers a publication. */
private const val CALL_MILLIS = 12_000L

internal class HttpControlPort : ControlPort, AutoCloseable {
    private val client =
        createInternalClient(ClientSettings(readTimeoutMillis = CALL_MILLIS, callTimeoutMillis = CALL_MILLIS))

    override fun publish(url: String, publication: Publication): PublicationAnswer? {
        val path = url + InternalPaths.PUBLICATIONS
        val call = client.postJson(path, publication, Publication.serializer(), PublicationAnswer.serializer())
        return when (val result = call.get()) {
            is CallResult.Answered -> result.answer
            is CallResult.Refused -> decode(result.body)
            is CallResult.NotSent, is CallResult.AnswerLost -> null
        }
    }

    override fun status(url: String): ControlStatus? = answerOrNull(
        client.getJson<ControlStatus>(url + InternalPaths.STATUS).get()
    )

    override fun ledger(url: String, organisation: String?): LedgerView? {
        val query = organisation?.let { "?organisation=" + URLEncoder.encode(it, Charsets.UTF_8) }.orEmpty()
        return answerOrNull(client.getJson<LedgerView>(url + InternalPaths.LEDGER + query).get())
    }

    override fun close() = client.close()

    private fun decode(body: String): PublicationAnswer? =
        (decodeJson(PublicationAnswer.serializer(), body) as? Decoded.Value)?.value

    private fun <A> answerOrNull(result: CallResult<A>): A? = (result as? CallResult.Answered)?.answer
}
