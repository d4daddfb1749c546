/**
 * Result of a call to another process.
 */
package org.ibismoor.transport.api

sealed interface CallResult<out A> {
    data class Answered<A>(val answer: A) : CallResult<A>

    /** The other process answered with an error status. */
    data class Refused(val status: Int, val body: String) : CallResult<Nothing>

    /** No byte of the request was written. */
    data class NotSent(val problem: String) : CallResult<Nothing>

    /** The request may have arrived, but there is no readable answer. */
    data class AnswerLost(val problem: String) : CallResult<Nothing>
}
