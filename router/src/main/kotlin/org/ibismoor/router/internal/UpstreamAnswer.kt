/**
 * The answer of an upstream, whose headers have been received. The body is read from [source].
 */
package org.ibismoor.router.internal

import okhttp3.Call
import okhttp3.Response
import okhttp3.internal.headersContentLength
import okhttp3.internal.http.promisesBody
import okio.BufferedSource

internal class UpstreamAnswer(private val call: Call, private val response: Response) : AutoCloseable {
    val status: Int get() = response.code
    val source: BufferedSource = checkNotNull(response.body).source()
    val headers: List<Pair<String, String>> get() = response.headers.toList()

    /** Whether the end of the body can be distinguished from a lost connection. */
    val isDelimited: Boolean get() = hasLength() || header("Transfer-Encoding") == "chunked" || !response.promisesBody()

    fun header(name: String): String? = response.header(name)

    private fun hasLength(): Boolean = response.headersContentLength() >= 0

    /** Returns the connection to the pool. The body must have been read to its end. */
    override fun close() = response.close()

    /** Closes the connection, which cancels the work at the upstream. */
    fun abort() {
        call.cancel()
        response.close()
    }
}
