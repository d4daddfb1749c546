/**
 * Why a proposal or a read is refused.
 */
package org.ibismoor.consensus.api

enum class ProposalRefusal {
    /** This replica does not lead or is handing over; nothing was appended. */
    NOT_LEADER,

    /** The proposal was appended and this replica stopped leading; it may still be committed. */
    OUTCOME_UNKNOWN,

    /** The payload is larger than `ConsensusSettings.MAXIMUM_PAYLOAD_CHARACTERS`; nothing was appended. */
    TOO_LARGE,

    /** `ConsensusSettings.MAXIMUM_PENDING` proposals or reads are open; nothing was appended. */
    TOO_MANY_PENDING,
}
