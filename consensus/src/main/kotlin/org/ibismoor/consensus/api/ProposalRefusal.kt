/**
 * Reason for the refusal of a proposal or a read.
 */
package org.ibismoor.consensus.api

enum class ProposalRefusal {
    /** This replica is not the leader or is transferring leadership; nothing was appended. */
    NOT_LEADER,

    /** This replica lost leadership after it appended the proposal, which may still be committed. */
    OUTCOME_UNKNOWN,

    /** The payload is larger than `ConsensusSettings.MAXIMUM_PAYLOAD_CHARACTERS`; nothing was appended. */
    TOO_LARGE,

    /** `ConsensusSettings.MAXIMUM_PENDING_REQUESTS` proposals or reads are pending; nothing was appended. */
    TOO_MANY_PENDING,
}
