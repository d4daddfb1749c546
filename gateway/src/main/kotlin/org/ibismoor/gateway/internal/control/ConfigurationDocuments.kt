/**
 * Serves the committed configuration to routers. The compressed document is kept until the next version, so that the
 * number of routers does not multiply the work.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.gateway.api.CompressedText
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.api.compressText

private const val STATUS_OK = 200
private const val STATUS_BAD_REQUEST = 400
private const val STATUS_NOT_FOUND = 404

/** Called on the traffic thread only. */
internal class ConfigurationDocuments(private val committed: () -> PublishedConfiguration?) {
    private var version = 0L
    private var document = CompressedText(ByteArray(0))

    /** Answers 404 while this replica has not applied the wanted version yet. */
    fun answer(request: SimpleRequest): SimpleAnswer {
        val wanted = request.query["version"]?.toLongOrNull() ?: return SimpleAnswer(STATUS_BAD_REQUEST)
        val current = committed()
        return when {
            current == null || current.version < wanted -> SimpleAnswer(STATUS_NOT_FOUND)
            else -> SimpleAnswer(STATUS_OK, compressedBody = compressedDocument(current))
        }
    }

    private fun compressedDocument(current: PublishedConfiguration): CompressedText {
        if (current.version != version) {
            document = compressText(current.document)
            version = current.version
        }
        return document
    }
}
