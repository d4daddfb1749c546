/**
 * Role of a replica. A learner is a member without a vote; an outsider is not in its own membership.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.Serializable

@Serializable
enum class ConsensusRole { LEADER, CANDIDATE, FOLLOWER, LEARNER, OUTSIDER }
