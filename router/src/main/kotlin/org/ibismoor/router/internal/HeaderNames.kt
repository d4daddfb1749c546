/**
 * Names of the HTTP headers exchanged with callers and upstreams.
 */
package org.ibismoor.router.internal

internal object HeaderNames {
    const val AUTHORIZATION = "Authorization"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val REQUEST_ID = "X-Request-Id"
    const val CONFIG_NUMBER = "Ibismoor-Config-Number"
    const val PRIORITY = "Ibismoor-Priority"
    const val DEADLINE = "Ibismoor-Deadline-Ms"
    const val ORGANISATION = "Ibismoor-Organisation"

    /** An upstream that has not run the request sets this to `not_run`, with status 429 or 503. */
    const val OUTCOME = "Ibismoor-Outcome"
    const val CONTENT_TYPE = "Content-Type"
}
