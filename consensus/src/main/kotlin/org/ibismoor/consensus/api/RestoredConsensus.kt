/**
 * A replica restored from its records. The application must restore [RestoredConsensus.snapshot] and apply the
 * [RestoredConsensus.committed] entries itself; the replica does not deliver them again.
 */
package org.ibismoor.consensus.api

data class RestoredConsensus(
    val tables: ConsensusTables,
    val snapshot: RestoreSnapshot?,
    val committed: List<ConsensusEntry>,
)
