/**
 * Reads the platform's list of upstreams at the leader, page by page. A reading that fails changes nothing.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.gateway.api.UpstreamListFormat
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 800L
private const val MAXIMUM_PAGES = 200
private const val SUCCESS = 200

internal class UpstreamListReader(
    private val client: JsonClient,
    private val address: String,
    private val format: UpstreamListFormat,
) {
    /** The whole list. The future fails if a page cannot be read. */
    fun read(): CompletableFuture<List<UpstreamEntry>> = readFrom(null, emptyList(), 1)

    private fun readFrom(
        token: String?,
        before: List<UpstreamEntry>,
        page: Int,
    ): CompletableFuture<List<UpstreamEntry>> =
        client.call(address, "GET", format.pagePath(token), null, TIMEOUT_MILLIS).thenCompose { answer ->
            require(answer.status == SUCCESS) { "the list answered ${answer.status}" }
            val read = format.readPage(answer.body)
            val entries = before + read.upstreams
            when {
                read.nextToken == null || page >= MAXIMUM_PAGES -> CompletableFuture.completedFuture(entries)
                else -> readFrom(read.nextToken, entries, page + 1)
            }
        }
}
