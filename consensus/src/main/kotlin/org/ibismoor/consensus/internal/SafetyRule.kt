/**
 * Rules on which safety rests. Tests switch one off to show that the search over schedules finds the fault.
 */
package org.ibismoor.consensus.internal

internal enum class SafetyRule {
    /** A replica that is not in its own membership never votes. */
    OUTSIDER_DOES_NOT_VOTE,

    /** A vote goes only to a candidate whose log is at least as long. */
    VOTE_FOR_COMPLETE_LOG,

    /** A replica votes once in a term. */
    VOTE_ONCE,

    /** A leader counts replicas only for entries of its own term. */
    COMMIT_OWN_TERM,

    /** A membership change waits until the one before is committed. */
    ONE_CHANGE_AT_A_TIME,

    /** A learner is promoted only when it holds every committed entry. */
    PROMOTE_COMPLETE_LEARNER,
}
