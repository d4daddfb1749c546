/**
 * Request paths and page format of the platform's upstream list.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.UpstreamEntry

interface UpstreamListFormat {
    /** Path and query of the page with [token]; null gives the first page. */
    fun pagePath(token: String?): String

    /** Parses one page and skips unreadable entries. Throws `IllegalArgumentException` if [body] is not a page. */
    fun readPage(body: String): UpstreamPage
}

/** One page of the list. [nextToken] is the token of the following page, or null on the last one. */
data class UpstreamPage(val upstreams: List<UpstreamEntry>, val nextToken: String?, val unreadableEntries: Int)
