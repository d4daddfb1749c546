/**
 * Times, in milliseconds, and sizes of the replicated log.
 */
package org.ibismoor.consensus.api

import org.ibismoor.consensus.internal.SafetyRule

@ConsistentCopyVisibility
data class ConsensusSettings internal constructor(
    val heartbeatMillis: Long,
    val minimumElectionMillis: Long,
    val maximumElectionMillis: Long,
    /** Entries before a snapshot that stay in memory, so that a peer slightly behind needs no snapshot. */
    val retainedEntries: Long,
    /** Largest part of a snapshot in one message, in characters. */
    val snapshotPartCharacters: Int,
    /** Rules that a test switches off to show that its search finds the fault. */
    internal val disabledRules: Set<SafetyRule>,
) {
    constructor(
        heartbeatMillis: Long = HEARTBEAT_MILLIS,
        minimumElectionMillis: Long = MINIMUM_ELECTION_MILLIS,
        maximumElectionMillis: Long = MAXIMUM_ELECTION_MILLIS,
        retainedEntries: Long = RETAINED_ENTRIES,
        snapshotPartCharacters: Int = SNAPSHOT_PART_CHARACTERS,
    ) : this(
        heartbeatMillis,
        minimumElectionMillis,
        maximumElectionMillis,
        retainedEntries,
        snapshotPartCharacters,
        emptySet(),
    )

    internal fun isEnforced(rule: SafetyRule): Boolean = rule !in disabledRules

    companion object {
        const val HEARTBEAT_MILLIS = 100L
        const val MINIMUM_ELECTION_MILLIS = 600L
        const val MAXIMUM_ELECTION_MILLIS = 1_200L
        const val RETAINED_ENTRIES = 500L

        /** Encoded as JSON within JSON, a part stays well below the 4 MB limit of a request body. */
        const val SNAPSHOT_PART_CHARACTERS = 256 * 1024

        /** A larger command is refused. Encoded as JSON within JSON, one entry stays below the 4 MB body limit. */
        const val MAXIMUM_PAYLOAD_CHARACTERS = 1_000_000

        /** A message carries further entries until this many characters. */
        const val BATCH_CHARACTERS = 256 * 1024
        const val BATCH_ENTRIES = 256

        /** Entries sent to a peer beyond those it has acknowledged. */
        const val MAXIMUM_UNACKNOWLEDGED_ENTRIES = 1_024

        /** Proposals appended but not committed, and reads not confirmed; more are refused. */
        const val MAXIMUM_PENDING = 10_000
        const val MAXIMUM_MEMBERS = 32

        /** A learner further behind than this is not promoted. */
        const val PROMOTION_LAG_ENTRIES = 100L
    }
}
