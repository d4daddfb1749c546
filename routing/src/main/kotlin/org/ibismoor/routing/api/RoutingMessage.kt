/**
 * What drives the decisions of a router beside the passing of time.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.membership.api.UpstreamReport

sealed interface RoutingMessage

/** A caller sent a request. */
data class RequestArrived(val stream: StreamId, val request: RoutedRequest) : RoutingMessage

/** The caller closed its connection. */
data class CallerDisconnected(val stream: StreamId) : RoutingMessage

/** A domain ledger answered. */
data class LedgerAnswered(val answer: LedgerAnswer) : RoutingMessage

/** A ledger request got no answer. With [isDelivered] false it never reached the control process. */
data class LedgerRequestFailed(val request: LedgerRequest, val authority: LedgerAuthority, val isDelivered: Boolean) :
    RoutingMessage

/** The first byte of an answer arrived from the upstream. */
data class AnswerStarted(val stream: StreamId, val upstream: UpstreamId) : RoutingMessage

/** [count] answer tokens have passed so far. Sent now and then, not for each token. */
data class AnswerProgressed(val stream: StreamId, val count: Long) : RoutingMessage

/** The whole answer was received. [cost] is its cost in budget tokens by the usage that the upstream stated. */
data class AnswerCompleted(val stream: StreamId, val upstream: UpstreamId, val cost: Long, val status: Int) :
    RoutingMessage

/** The attempt at [upstream] failed. */
data class AttemptFailed(val stream: StreamId, val upstream: UpstreamId, val failure: AttemptFailure) : RoutingMessage

/** A new configuration is in force at this router. */
data class ConfigurationChanged(val configuration: ConfigurationTables) : RoutingMessage

/** Load reports of upstreams arrived. */
data class ReportsReceived(val reports: List<UpstreamReport>) : RoutingMessage

/** Engine [upstream] says which prefixes it holds or dropped. Such events are late and have gaps. */
data class CacheChanged(val upstream: UpstreamId, val added: List<Long>, val removed: List<Long>) : RoutingMessage

/** A control process was heard, which keeps the session alive. */
data class ControlContactReceived(val authority: LedgerAuthority) : RoutingMessage

/** Accept no new requests after the time for which callers keep addresses, finish the rest. */
data object DrainRequested : RoutingMessage
