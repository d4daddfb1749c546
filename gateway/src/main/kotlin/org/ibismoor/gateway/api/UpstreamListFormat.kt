/**
 * The list of upstreams that the platform keeps.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.UpstreamEntry

interface UpstreamListFormat {
    /** Path and query of the first page, or of the page that [token] names. */
    fun pagePath(token: String?): String

    /** Reads one page without the entries that cannot be read. Throws `IllegalArgumentException` for no page. */
    fun readPage(body: String): UpstreamPage
}

/** One page of the list. [nextToken] is that of the following page. */
data class UpstreamPage(val upstreams: List<UpstreamEntry>, val nextToken: String?, val unreadableEntries: Int)
