/**
 * How an attempt at an upstream failed, as far as it decides about a retry.
 */
package org.ibismoor.routing.api

enum class AttemptFailure {
    /** No byte of the request was written, so the upstream did not run it. */
    NOT_SENT,

    /** The upstream answered that it refuses work, before running it. */
    REFUSED,

    /** The request was sent and no byte of an answer was passed on. */
    NO_ANSWER,

    /** The answer broke after bytes were passed on to the caller. */
    BROKEN_ANSWER,

    /** The answer belongs to another request. */
    CROSSED_ANSWER,

    /** The time limit passed. */
    TIMEOUT,
}
