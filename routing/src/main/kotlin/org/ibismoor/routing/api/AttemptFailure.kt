/**
 * How an attempt at an upstream failed, as far as it decides about a retry.
 */
package org.ibismoor.routing.api

/** [mayHaveRun] is false if the upstream certainly did not start the request. [code] labels the counter of retries. */
enum class AttemptFailure(val mayHaveRun: Boolean, val code: String) {
    /** No byte of the request was written, so the upstream did not run it. */
    NOT_SENT(false, "not_sent"),

    /** The upstream answered that it refuses work, before running it. */
    REFUSED(false, "refused"),

    /** The request was sent and no byte of an answer was passed on. */
    NO_ANSWER(true, "no_answer"),

    /** The answer broke after bytes were passed on to the caller. */
    BROKEN_ANSWER(true, "broken_answer"),

    /** The answer belongs to another request. */
    CROSSED_ANSWER(true, "crossed_answer"),

    /** The time limit passed. */
    TIMEOUT(true, "timeout"),
}
