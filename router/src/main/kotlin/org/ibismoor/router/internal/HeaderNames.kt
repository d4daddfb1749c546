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

    /** The last event that the caller has of a stream that broke off. */
    const val LAST_EVENT_ID = "Last-Event-Id"

    /** The request whose stream the caller asks to go on with. */
    const val RESUMES = "Resumes"

    /** An upstream that has not run the request sets this to `not_run`, with status 429 or 503. */
    const val OUTCOME = "Ibismoor-Outcome"
    const val CONTENT_TYPE = "Content-Type"
}
