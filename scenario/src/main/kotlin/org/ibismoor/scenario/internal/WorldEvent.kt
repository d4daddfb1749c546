/**
 * Scheduled events of a running scenario.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.scenario.api.ScenarioStep

internal sealed interface WorldEvent

/** A step of the scenario is due. */
internal data class StepDue(val step: ScenarioStep) : WorldEvent

/** A message arrives at a control process. It is lost if the process is down or runs under another epoch by then. */
internal data class ReplicaMessageDue(val replica: ReplicaId, val message: ControlMessage) : WorldEvent

/** A message arrives at a router. It is lost if that session of the router has ended by then. */
internal data class RouterMessageDue(val router: RouterId, val session: SessionId, val message: RoutingMessage) :
    WorldEvent

/** The control processes read the platform's list of leaving VMs. */
internal data object PlatformReadDue : WorldEvent

/** A router's heartbeat is due. */
internal data class HeartbeatDue(val router: RouterId, val session: SessionId) : WorldEvent

/** The answer to a heartbeat arrives at a router. */
internal data class HeartbeatAnswered(
    val router: RouterId,
    val session: SessionId,
    val domain: FailureDomainId,
    val answer: HeartbeatAnswer,
) : WorldEvent

/** The requester of this exchange stops waiting for its answer. */
internal data class ExchangeTimedOut(val reply: Long) : WorldEvent

/** A caller sends its call to a router. */
internal data class CallAttemptDue(val call: Long) : WorldEvent

/** A caller stops waiting for the answer to an attempt. */
internal data class CallAttemptTimedOut(val call: Long, val stream: Long) : WorldEvent

/** A request arrives at an upstream. */
internal data class UpstreamRequestArrived(val dispatch: Dispatch, val session: SessionId) : WorldEvent

/** An upstream completes its answer. */
internal data class UpstreamAnswerDue(val dispatch: Dispatch, val session: SessionId, val cost: Long) : WorldEvent

/**
 * An operator sends a publication to the control process of [domain], unless another attempt has followed the one with
 * [previousReply] in the meantime.
 */
internal data class PublicationAttemptDue(
    val publication: Long,
    val domain: FailureDomainId,
    val previousReply: Long? = null,
) : WorldEvent
