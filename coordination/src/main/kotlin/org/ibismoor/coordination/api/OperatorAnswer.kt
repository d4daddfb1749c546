/**
 * Answers to an operator's publication or read of the configuration, or order on a failure domain.
 */
package org.ibismoor.coordination.api

import org.ibismoor.core.api.ReplicaId

sealed interface OperatorAnswer

/**
 * For a publication: [configuration] has at least the published version and is durable at a quorum. For a read:
 * [configuration] is confirmed as the newest. For an order on a failure domain: the order is durable at a quorum.
 */
data class Confirmed(val configuration: PublishedConfiguration?) : OperatorAnswer

/** Nothing was changed; the call must be sent to [leader]. */
data class AskLeader(val leader: ReplicaId) : OperatorAnswer

/** Unknown result: a publication or order may or may not take effect, or the newest configuration is not confirmed. */
data object Unconfirmed : OperatorAnswer

/** Nothing was changed, and repeating the publication does not help: it exceeds the size of a log entry. */
data object PublicationTooLarge : OperatorAnswer
