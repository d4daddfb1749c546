/**
 * A member of the group: a voter, or a learner that receives the log but has no vote.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ConsensusMember(val replica: ReplicaId, val isVoter: Boolean)
