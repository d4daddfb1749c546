/**
 * Headers of requests that callers send and of answers to them, and of requests to upstreams.
 */
package org.ibismoor.router.internal

internal object CallerHeaders {
    const val AUTHORIZATION = "Authorization"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REQUEST_ID = "X-Request-Id"
    const val CONFIG_NUMBER = "Ibismoor-Config-Number"
    const val PRIORITY = "Ibismoor-Priority"
    const val DEADLINE = "Ibismoor-Deadline-Ms"
    const val ORGANISATION = "Ibismoor-Organisation"

    /** An upstream states `not_run` here with status 429 or 503 if it has not run the request. */
    const val OUTCOME = "Ibismoor-Outcome"
    const val CONTENT_TYPE = "Content-Type"
}
