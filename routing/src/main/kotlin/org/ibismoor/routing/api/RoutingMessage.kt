/**
 * Input messages of the routing decisions.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.membership.api.UpstreamReport

sealed interface RoutingMessage

data class RequestArrived(val stream: StreamId, val request: RoutedRequest) : RoutingMessage

data class CallerDisconnected(val stream: StreamId) : RoutingMessage

data class LedgerAnswered(val answer: LedgerAnswer) : RoutingMessage

/** A ledger request got no answer. If [isDelivered] is false, it did not reach the control process. */
data class LedgerRequestFailed(val request: LedgerRequest, val authority: LedgerAuthority, val isDelivered: Boolean) :
    RoutingMessage

/** The first byte of the answer arrived. */
data class AnswerStarted(val stream: StreamId, val upstream: UpstreamId) : RoutingMessage

/** [answerTokens] is the total so far. Not sent for each token. */
data class AnswerProgressed(val stream: StreamId, val answerTokens: Long) : RoutingMessage

/** The answer is complete. [cost] is in budget tokens, from the usage that the upstream reported. */
data class AnswerCompleted(val stream: StreamId, val upstream: UpstreamId, val cost: Long, val status: Int) :
    RoutingMessage

data class AttemptFailed(val stream: StreamId, val upstream: UpstreamId, val failure: AttemptFailure) : RoutingMessage

/** A new configuration is in force at this router. */
data class ConfigurationChanged(val configuration: ConfigurationTables) : RoutingMessage

data class ReportsReceived(val reports: List<UpstreamReport>) : RoutingMessage

/** Engine [upstream] reported changes of its prefix cache. Such events arrive late and with gaps. */
data class CacheChanged(val upstream: UpstreamId, val added: List<Long>, val removed: List<Long>) : RoutingMessage

/** A control process answered, which renews the session there. */
data class ControlContactReceived(val authority: LedgerAuthority) : RoutingMessage

/** New requests are refused once callers no longer have this router's address in a cache; the others finish. */
data object DrainRequested : RoutingMessage
