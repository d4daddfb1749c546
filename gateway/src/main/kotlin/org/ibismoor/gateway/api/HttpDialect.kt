/**
 * Maps the platform's header fields to the request and answer properties that the forwarding code uses. Field names and
 * formats are known to the implementation only.
 */
package org.ibismoor.gateway.api

import io.netty.handler.codec.http.HttpHeaders
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.ReportedLoad
import org.ibismoor.forwarding.api.StreamContinuation

interface HttpDialect {
    /** Reads the [headers] of a caller's request; null if a field is missing, repeated or malformed. */
    fun readRequestFields(headers: HttpHeaders): RequestFields?

    /** Changes [headers], a copy of the caller's, to those of an attempt at [upstream]. */
    fun writeAttemptFields(upstream: UpstreamEntry, terms: AttemptTerms, headers: HttpHeaders)

    /** Sets the field that requests only the events after [lastEventId]. */
    fun requestEventsAfter(lastEventId: Long, headers: HttpHeaders)

    /** Reads the [headers] of an upstream's answer with [status]. */
    fun readAnswerFields(status: Int, headers: HttpHeaders): AnswerFields
}

/** Header fields of a caller's request. */
data class RequestFields(
    val callId: String,
    val key: ApiKeyDigest?,
    val deadlineMillis: Long?,
    val prompt: PromptShape?,
    /** Identifier of the event after which the caller resumes a stream. */
    val lastEventId: Long?,
    /** Null if the caller does not ask for the rest of a stream. */
    val continuation: StreamContinuation? = null,
)

/** Header fields of an upstream's answer. */
data class AnswerFields(
    /** Identifier of the request that the answer belongs to; null if the upstream does not send it. */
    val callId: String?,
    /** True if the answer has the field that upstreams add to every answer that they compute. */
    val isMarked: Boolean,
    /** The upstream states that it did not run the request. */
    val isNotExecuted: Boolean,
    /** The address now belongs to another upstream process. */
    val isOtherUpstream: Boolean,
    /** The upstream announces that it is leaving. */
    val isLeaving: Boolean,
    val load: ReportedLoad?,
    /** Time for which the upstream is still cold; null if the answer does not say so. */
    val coldMillis: Long? = null,
)
