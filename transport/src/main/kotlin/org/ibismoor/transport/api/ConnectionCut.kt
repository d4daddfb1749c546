/**
 * Causes for which a server closes the connection of a caller without a whole answer. A streamed answer learns from the
 * closing of its body that the caller has left.
 */
package org.ibismoor.transport.api

/** [code] is the label of the cause in logs and metrics. */
enum class ConnectionCut(val code: String) {
    /** The body of the request did not arrive in time. */
    REQUEST_TIMEOUT("request_timeout"),

    /** The connection failed while the body of the request arrived. */
    REQUEST_BROKEN("request_broken"),

    /** The connection failed while an answer that is not streamed was written. */
    ANSWER_UNWRITTEN("answer_unwritten"),
}
