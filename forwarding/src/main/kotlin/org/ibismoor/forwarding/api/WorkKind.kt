/**
 * How the requests of a route may be retried when an attempt fails. A request that is not retryable is sent a second
 * time only if it is certain that the first attempt did not run.
 */
package org.ibismoor.forwarding.api

enum class WorkKind(val isRetryable: Boolean, val isStream: Boolean) {
    IDEMPOTENT(isRetryable = true, isStream = false),
    NON_IDEMPOTENT(isRetryable = false, isStream = false),
    STREAM(isRetryable = false, isStream = true),
    RESUMABLE_STREAM(isRetryable = true, isStream = true),
}
