/**
 * Properties of a request that decisions depend on. Its bytes stay with the traffic threads.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.RequestDigest

data class RequestHead(
    /** The caller's own identifier of this call; it is in each log line about the request. */
    val callId: String,
    val host: String,
    /** Path without the query. */
    val path: String,
    val key: ApiKeyDigest?,
    /** Time in milliseconds for which the caller still waits; null if it sent no deadline. */
    val deadlineMillis: Long?,
    val prompt: PromptShape?,
    /** Equal for requests with the same content; the call identifier and the deadline differ between repetitions. */
    val digest: RequestDigest,
    /** Null if the caller asks for a whole answer. */
    val continuation: StreamContinuation? = null,
    /** Size of the body. */
    val bodyBytes: Long = 0,
)
