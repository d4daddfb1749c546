/**
 * Kinds of failure of an attempt at an upstream, as far as they decide about a retry.
 */
package org.ibismoor.routing.api

/** [mayHaveRun] is false if the upstream certainly did not start the request. [code] labels the retry counter. */
enum class AttemptFailure(val mayHaveRun: Boolean, val code: String) {
    /** No byte of the request was written, so the upstream did not run it. */
    NOT_SENT(false, "not_sent"),

    /** The upstream refused the request before running it. */
    REFUSED(false, "refused"),

    /** The request was sent, but no byte of an answer was passed on to the caller. */
    NO_ANSWER(true, "no_answer"),

    /** The answer broke off after bytes were passed on to the caller. */
    BROKEN_ANSWER(true, "broken_answer"),

    /** The answer belongs to another request. */
    CROSSED_ANSWER(true, "crossed_answer"),

    /** The time limit of the attempt passed without a complete answer. */
    TIMEOUT(true, "timeout"),
}
