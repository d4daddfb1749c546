/**
 * The end of a caller's connection without a whole answer: what ended it, and how far the request had come.
 */
package org.ibismoor.gateway.internal.router

import org.ibismoor.core.api.UpstreamId

internal data class CutAnswer(
    val cause: CutCause,
    /** Reason of the refusal, or class of the exception, that led to the end; null if the cause says all. */
    val detail: String? = null,
    /** The caller's identifier of the request; null if its head was not read. */
    val callId: String? = null,
    /** The upstream of the last attempt; null if there was none. */
    val upstream: UpstreamId? = null,
    /** Events that were written to the caller. */
    val events: Int = 0,
    /** Time in milliseconds since the request was read; null if it was not read completely. */
    val ageMillis: Long? = null,
)

/** The text is a metric label and appears in log lines. */
internal enum class CutCause(val text: String) {
    /** The fleet gave the request up after part of its answer was written. */
    REFUSED_AFTER_START("refused_after_start"),

    /** The upstream failed after part of the answer was written. */
    FAILED_AFTER_START("failed_after_start"),
    CALLER_CLOSED("caller_closed"),
    CALLER_RESET("caller_reset"),

    /** The connection ended before the request was read completely. */
    REQUEST_INCOMPLETE("request_incomplete"),

    /** The whole answer was there, but the connection failed while it was written. */
    WRITE_FAILED("write_failed"),

    /** The connection held memory without progress, or its answer found no room. */
    MEMORY_USED_UP("memory_used_up"),

    /** An exception in the router's own code closed the connection. */
    INTERNAL_ERROR("internal_error"),

    /** The process stopped with the request still open. */
    PROCESS_STOPPED("process_stopped"),
}

internal fun interface CutAnswerRecorder {
    fun record(cut: CutAnswer)
}
