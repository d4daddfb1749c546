/**
 * A replica restored from its records: the last snapshot, if any, and the committed entries after it. The state
 * machine above restores the snapshot and applies the entries; they are not emitted again.
 */
package org.ibismoor.consensus.api

data class RestoredConsensus(
    val tables: ConsensusTables,
    val snapshot: RestoreSnapshot?,
    val committed: List<ConsensusEntry>,
)
