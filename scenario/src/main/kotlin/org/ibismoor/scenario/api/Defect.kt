/**
 * Defects that a scenario can inject into its processes, to show that the checks report them.
 */
package org.ibismoor.scenario.api

enum class Defect {
    /** A domain ledger confirms a settlement without writing the charge to its disk. */
    UNSYNCED_CHARGES,

    /** A restarted domain ledger does not read the charges from its disk, so their tokens are spent again. */
    FORGOTTEN_CHARGES,

    /** A restarted control process reads only the first half of its consensus log. */
    STALE_CONSENSUS_LOG,

    /** A router sends each request to its upstream twice. */
    DOUBLE_DISPATCH,

    /** Each refusal of a router says that the request did not run. */
    FALSE_NOT_RUN,

    /** Control processes do not read the platform's list of leaving VMs. */
    UNREAD_PLATFORM,

    /** A router ignores every configuration in heartbeat answers after its first one. */
    STUCK_CONFIGURATION,
}
