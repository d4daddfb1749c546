/**
 * Defects that a scenario can give to its processes, to show that the checks report what they are for.
 */
package org.ibismoor.scenario.api

enum class Defect {
    /** A domain ledger answers a settlement without writing the charge to its disk. */
    UNSYNCED_CHARGES,

    /** A domain ledger that starts again does not read the charges from its disk, so their share is spent again. */
    FORGOTTEN_CHARGES,

    /** A control process that starts again reads only the first half of its consensus log. */
    STALE_CONSENSUS_LOG,

    /** A router sends each request to its upstream twice. */
    DOUBLE_DISPATCH,

    /** A router says "not run" in each refusal. */
    FALSE_NOT_RUN,

    /** Control processes do not read the platform's list of leaving VMs. */
    UNREAD_PLATFORM,

    /** Routers ignore the configuration that heartbeats bring after the first one. */
    STUCK_CONFIGURATION,
}
