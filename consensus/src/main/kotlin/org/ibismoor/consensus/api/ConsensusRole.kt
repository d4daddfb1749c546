/**
 * Role of a replica. A learner is a member without a vote. An outsider is not a member according to its own log.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.Serializable

@Serializable
enum class ConsensusRole { LEADER, CANDIDATE, FOLLOWER, LEARNER, OUTSIDER }
