/**
 * Messages into the control state of a router process.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.routing.api.RoutingMessage

internal sealed interface RouterMessage

/** A message for the routing decisions. */
internal data class RoutingInput(val message: RoutingMessage) : RouterMessage

internal data class HeartbeatAnswered(val domain: FailureDomainId, val answer: HeartbeatAnswer) : RouterMessage

internal data class HeartbeatFailed(val domain: FailureDomainId) : RouterMessage

internal sealed interface BatchEnded : RouterMessage {
    val domain: FailureDomainId
    val number: Long
}

internal data class BatchAnswered(
    override val domain: FailureDomainId,
    override val number: Long,
    val answers: List<LedgerAnswer>,
) : BatchEnded

/** [isDelivered] is false if the batch certainly did not reach the control process. */
internal data class BatchFailed(
    override val domain: FailureDomainId,
    override val number: Long,
    val isDelivered: Boolean,
) : BatchEnded
