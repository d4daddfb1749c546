/**
 * A caller's wish to go on with a stream that broke off: the caller already has the first part of the answer.
 */
package org.ibismoor.forwarding.api

data class StreamContinuation(
    /** Identifier of the call whose answer brought the first event; null if the caller does not name one. */
    val firstCallId: String?,
)
