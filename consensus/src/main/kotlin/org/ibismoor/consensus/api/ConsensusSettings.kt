/**
 * Timeouts and limits of the replicated log.
 */
package org.ibismoor.consensus.api

import org.ibismoor.consensus.internal.SafetyRule

@ConsistentCopyVisibility
data class ConsensusSettings internal constructor(
    val heartbeatMillis: Long,
    val minimumElectionMillis: Long,
    val maximumElectionMillis: Long,
    /** Entries before a snapshot that stay in memory, so that a peer which lags by less needs no snapshot. */
    val retainedEntries: Long,
    /** Payload characters of these entries. Older ones are dropped, however few they are. */
    val retainedCharacters: Long,
    /** Maximum size of the part of a snapshot in one message. */
    val snapshotPartCharacters: Int,
    /** Rules that a test disables to prove that it detects the resulting fault. */
    internal val disabledRules: Set<SafetyRule>,
) {
    constructor(
        heartbeatMillis: Long = HEARTBEAT_MILLIS,
        minimumElectionMillis: Long = MINIMUM_ELECTION_MILLIS,
        maximumElectionMillis: Long = MAXIMUM_ELECTION_MILLIS,
        retainedEntries: Long = RETAINED_ENTRIES,
        retainedCharacters: Long = RETAINED_CHARACTERS,
        snapshotPartCharacters: Int = SNAPSHOT_PART_CHARACTERS,
    ) : this(
        heartbeatMillis,
        minimumElectionMillis,
        maximumElectionMillis,
        retainedEntries,
        retainedCharacters,
        snapshotPartCharacters,
        emptySet(),
    )

    internal fun isEnforced(rule: SafetyRule): Boolean = rule !in disabledRules

    companion object {
        const val HEARTBEAT_MILLIS = 100L
        const val MINIMUM_ELECTION_MILLIS = 600L
        const val MAXIMUM_ELECTION_MILLIS = 1_200L
        const val RETAINED_ENTRIES = 500L

        /** Four of the largest commands. A replica with a small heap has to hold them beside its state. */
        const val RETAINED_CHARACTERS = 4_000_000L

        /** A part is encoded as JSON within JSON and must stay well below the 4 MB limit of a request body. */
        const val SNAPSHOT_PART_CHARACTERS = 256 * 1024

        /**
         * Larger commands are refused. An entry is encoded as JSON within JSON and must stay below the 4 MB limit of a
         * request body.
         */
        const val MAXIMUM_PAYLOAD_CHARACTERS = 1_000_000

        /** Limit of the payload characters in one message. An entry that exceeds it is sent alone. */
        const val MAXIMUM_BATCH_CHARACTERS = 256 * 1024
        const val MAXIMUM_BATCH_ENTRIES = 256

        /** Window of entries sent to a peer beyond its last acknowledgement. */
        const val MAXIMUM_UNACKNOWLEDGED_ENTRIES = 1_024

        /** The same window in payload characters. The batch that exceeds it is still sent. */
        const val MAXIMUM_UNACKNOWLEDGED_CHARACTERS = 1_000_000L

        /** Limit, each, of uncommitted proposals and of unconfirmed reads. Further ones are refused. */
        const val MAXIMUM_PENDING_REQUESTS = 10_000

        /** Limit of the payload characters of uncommitted entries: eight of the largest commands and small ones. */
        const val MAXIMUM_PENDING_CHARACTERS = 9_000_000L
        const val MAXIMUM_MEMBERS = 32

        /** A learner is not promoted while its log lags by more entries. */
        const val PROMOTION_LAG_ENTRIES = 100L
    }
}
