/**
 * Queries on the membership in force and on quorums of its voters.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusMember
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.MembersContent
import org.ibismoor.core.api.ReplicaId

internal val ConsensusTables.members: List<ConsensusMember> get() = memberships.lastOrNull()?.members.orEmpty()

internal val ConsensusTables.voters: List<ReplicaId> get() = members.filter { it.isVoter }.map { it.replica }

internal fun ConsensusTables.isMember(): Boolean = members.any { it.replica == self }

internal fun ConsensusTables.isVoter(): Boolean = self in voters

internal fun ConsensusTables.hasMajority(replicas: Set<ReplicaId>): Boolean =
    voters.count { it in replicas } > voters.size / 2

/** The largest value that a majority of the voters has reached, or null if there are no voters. */
internal fun ConsensusTables.quorumValue(valueOf: (ReplicaId) -> Long): Long? {
    val values = voters.map(valueOf).sortedDescending()
    return values.getOrNull(values.size / 2)
}

/** Appends [entries] to the log, in place of all from the first index on, and updates the memberships. */
internal fun ConsensusTables.append(entries: List<ConsensusEntry>): ConsensusTables {
    val first = entries.first().index
    val added = entries.mapNotNull { entry ->
        (entry.content as? MembersContent)?.let { MembershipRow(entry.index, it.members) }
    }
    val kept = if (first <= log.lastIndex) memberships.removeAll { it.index >= first } else memberships
    return copy(log = log.append(entries), memberships = kept.addAll(added))
}
