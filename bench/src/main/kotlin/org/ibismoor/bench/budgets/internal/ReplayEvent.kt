/**
 * Events of a replay: steps of calls, the partition, and messages in flight between replicas.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.ShareMessage

internal sealed interface ReplayEvent

/** The next call on [budget] arrives. */
internal data class CallDue(val budget: BudgetId) : ReplayEvent

/** A call has used its reservation and needs more. */
internal data class ExtensionDue(val attempt: AttemptId) : ReplayEvent

/** The answer of a call ends. */
internal data class EndDue(val attempt: AttemptId) : ReplayEvent

internal data class CallAnswered(val answer: LedgerAnswer) : ReplayEvent

/** Routers contact the domain ledgers, so that their sessions do not expire. */
internal data object RouterContactDue : ReplayEvent

internal data object PartitionStarted : ReplayEvent

internal data object PartitionEnded : ReplayEvent

internal data object TopUpDue : ReplayEvent

/** A message that a replica sent; it is lost if the partition separates the two when it arrives. */
internal data class LedgerMessageArrived(
    val to: ReplicaId,
    val message: DomainLedgerMessage,
    val from: ReplicaId = to,
) : ReplayEvent

internal data class AllocatorMessageArrived(val message: ShareMessage, val from: ReplicaId) : ReplayEvent

/** A command reached the leader and a majority; [from] waits for the result. */
internal data class CommandCommitted(val command: FleetCommand, val from: ReplicaId) : ReplayEvent

/** Committed entries are applied at [to]. */
internal data class EntriesApplied(val to: ReplicaId, val changed: Set<BudgetId>) : ReplayEvent
