/**
 * Reads the platform's list of upstreams page by page, for the leader. If a page fails, the whole read fails, and the
 * leader keeps the list that it has.
 */
package org.ibismoor.gateway.internal.control

import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.gateway.api.UpstreamListFormat
import org.ibismoor.gateway.internal.net.JsonClient
import java.util.concurrent.CompletableFuture

private const val TIMEOUT_MILLIS = 800L

/** Bounds for a list whose pages name further ones without end. */
private const val MAXIMUM_PAGES = 1_000
private const val MAXIMUM_ENTRIES = 50_000
private const val STATUS_OK = 200

/** Parsing takes several times this size, so the bound keeps a page from filling the memory of the process. */
private const val MAXIMUM_PAGE_BYTES = 2 * 1024 * 1024

internal class UpstreamListReader(
    client: JsonClient,
    private val address: String,
    private val format: UpstreamListFormat,
) {
    private val pageClient = client.withMaximumAnswer(MAXIMUM_PAGE_BYTES)

    /** The complete list. The future fails if any page cannot be read. */
    fun read(): CompletableFuture<List<UpstreamEntry>> = readPagesFrom(null, emptyList(), 1)

    private fun readPagesFrom(
        token: String?,
        previousEntries: List<UpstreamEntry>,
        page: Int,
    ): CompletableFuture<List<UpstreamEntry>> =
        pageClient.call(address, "GET", format.pagePath(token), null, TIMEOUT_MILLIS).thenCompose { answer ->
            require(answer.status == STATUS_OK) {
                "upstream list at $address answered status ${answer.status} to page $page, expected $STATUS_OK"
            }
            val content = format.readPage(answer.body)
            val entries = previousEntries + content.upstreams
            check(entries.size <= MAXIMUM_ENTRIES && (content.nextToken == null || page < MAXIMUM_PAGES)) {
                "upstream list at $address has more than $MAXIMUM_PAGES pages or $MAXIMUM_ENTRIES entries"
            }
            when (content.nextToken) {
                null -> CompletableFuture.completedFuture(entries)
                else -> readPagesFrom(content.nextToken, entries, page + 1)
            }
        }
}
