/**
 * Rules that the safety of the replicated log depends on. Tests disable one to prove that they detect the fault.
 */
package org.ibismoor.consensus.internal

internal enum class SafetyRule {
    /** A replica that is not a member according to its own log never votes. */
    OUTSIDER_DOES_NOT_VOTE,

    /** A replica votes only for a candidate whose log is at least as up to date as its own. */
    VOTE_FOR_COMPLETE_LOG,

    /** A replica votes for at most one candidate in a term. */
    VOTE_ONCE,

    /** A leader commits entries of earlier terms only together with an entry of its own term. */
    COMMIT_OWN_TERM,

    /** A membership change starts only after the previous one is committed. */
    ONE_CHANGE_AT_A_TIME,

    /** A learner is promoted only when it holds every committed entry. */
    PROMOTE_COMPLETE_LEARNER,
}
