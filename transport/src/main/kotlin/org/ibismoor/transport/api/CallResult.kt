/**
 * Result of an HTTP call to another process.
 */
package org.ibismoor.transport.api

sealed interface CallResult<out A> {
    data class Answered<A>(val answer: A) : CallResult<A>

    /** The answer has an error status. */
    data class Refused(val status: Int, val body: String) : CallResult<Nothing>

    /** No byte of the request was written, so the other process cannot have received it. */
    data class NotSent(val problem: String) : CallResult<Nothing>

    /** The request may have been received, but no readable answer arrived. */
    data class AnswerLost(val problem: String) : CallResult<Nothing>
}
