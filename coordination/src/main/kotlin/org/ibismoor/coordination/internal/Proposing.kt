/**
 * Hands a command to the consensus.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.Proposal
import org.ibismoor.coordination.api.Waiting

internal fun propose(tables: CoordinationTables, payload: String, waiting: List<Waiting>): CoordinationTables {
    val number = tables.nextNumber
    return tables.copy(
        nextNumber = number + 1,
        proposals = tables.proposals.put(number, Proposal(waiting)),
        inputs = tables.inputs.add(ProposalReceived(number, payload)),
    )
}
