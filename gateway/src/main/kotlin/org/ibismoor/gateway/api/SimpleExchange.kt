/**
 * Buffered HTTP requests and answers of the processes' internal interfaces.
 */
package org.ibismoor.gateway.api

import java.util.concurrent.CompletableFuture

data class SimpleRequest(val method: String, val path: String, val query: Map<String, String>, val body: String)

data class SimpleAnswer(
    val status: Int,
    val body: String = "",
    val contentType: String = JSON,
    val location: String? = null,
    /** Sent in place of [body]. */
    val compressedBody: CompressedText? = null,
) {
    companion object {
        const val JSON: String = "application/json"
        const val TEXT: String = "text/plain; version=0.0.4; charset=utf-8"
    }
}

/** Handles the requests to one listen address. The future may be completed by any thread. */
fun interface SimpleHandler {
    fun handle(request: SimpleRequest): CompletableFuture<SimpleAnswer>
}
