/**
 * Queues commands as proposals for the consensus.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PendingExchange
import org.ibismoor.coordination.api.Proposal

/** Proposes the command in [payload]; [exchanges] are answered once it is committed or refused. */
internal fun proposeCommand(
    tables: CoordinationTables,
    payload: String,
    exchanges: List<PendingExchange>,
): CoordinationTables {
    val number = tables.nextNumber
    return tables.copy(
        nextNumber = number + 1,
        proposals = tables.proposals.put(number, Proposal(exchanges)),
        consensusInputs = tables.consensusInputs.add(ProposalReceived(number, payload)),
    )
}
