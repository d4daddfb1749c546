/**
 * The header fields by which callers, routers and upstreams tell each other about a request. The forwarding code knows
 * the meanings only; an implementation knows the names.
 */
package org.ibismoor.gateway.api

import io.netty.handler.codec.http.HttpHeaders
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.ReportedLoad

interface HttpDialect {
    /** What [headers] of a request say, or null if a field that has to be there is missing, repeated or malformed. */
    fun readRequestFields(headers: HttpHeaders): RequestFields?

    /** Makes [headers], which are a copy of the caller's, those of an attempt at [upstream]. */
    fun writeAttemptFields(upstream: UpstreamEntry, terms: AttemptTerms, headers: HttpHeaders)

    /** Asks for the events after [lastEventId] only. */
    fun requestEventsAfter(lastEventId: Long, headers: HttpHeaders)

    /** What [headers] of an answer with [status] say. */
    fun readAnswerFields(status: Int, headers: HttpHeaders): AnswerFields
}

/** What a caller says of its request. */
data class RequestFields(
    val callId: String,
    val key: ApiKeyDigest?,
    val deadlineMillis: Long?,
    val prompt: PromptShape?,
    /** The caller wants the events after this one only. */
    val lastEventId: Long?,
)

/** What an upstream says of its answer. */
data class AnswerFields(
    /** The request that the answer belongs to, if it says so. */
    val callId: String?,
    /** The answer carries the mark that every computed answer has. */
    val isMarked: Boolean,
    val isNotExecuted: Boolean,
    /** Another process has the address. */
    val isOtherUpstream: Boolean,
    val load: ReportedLoad?,
)
