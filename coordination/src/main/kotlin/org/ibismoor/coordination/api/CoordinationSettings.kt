/**
 * Limits and timeouts of a control replica.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusSettings

private const val ROUTER_TIMEOUT_MILLIS = 2_500L
private const val ROUTER_EXPIRY_MILLIS = 20_000L
private const val COLOCATED_ROUTER_TIMEOUT_MILLIS = 1_300L
private const val ROUTER_DISCOVERY_MILLIS = 800L
private const val REPLICA_TIMEOUT_MILLIS = 3_000L
private const val TOLERATED_LOSSES = 0
private const val GROUP_COMPLETION_MILLIS = 10_000L
private const val JOIN_RETRY_MILLIS = 500L
private const val COLOCATED_REQUESTS_PER_CORE = 100.0
private const val COLOCATED_HORIZON_MILLIS = 0L
private const val DEFAULT_HORIZON_MILLIS = 10_000L
private const val HORIZON_DIVISOR = 5L
private const val ADVANCE_DIVISOR = 4L
private const val PERSISTENT_CALLERS_PERCENT = 95L
private const val MINIMUM_ELECTION_MILLIS = 450L
private const val MAXIMUM_ELECTION_MILLIS = 900L
private const val SUSPICION_MILLIS = 1_000L
private const val FIRST_QUARANTINE_MILLIS = 60_000L
private const val PROVISIONAL_QUARANTINE_MILLIS = 20_000L
private const val MAXIMUM_QUARANTINE_MILLIS = 3_600_000L
private const val PROBE_TURN_MILLIS = 5_000L
private const val IDLE_QUARANTINE_MILLIS = 600_000L
private const val STREAM_RETENTION_MILLIS = 60_000L
private const val SNAPSHOT_ENTRIES = 1_000
private const val SNAPSHOT_CHARACTERS = 1_000_000L

data class CoordinationSettings(
    /** A router without a report for this long is taken off the list, unless at least half of all routers are late. */
    val routerTimeoutMillis: Long = ROUTER_TIMEOUT_MILLIS,
    /**
     * Report timeout of a colocated router, one on the VM of a replica. It is shorter, since the router holds no tokens
     * in advance and its callers have to switch to another one sooner.
     */
    val colocatedRouterTimeoutMillis: Long = COLOCATED_ROUTER_TIMEOUT_MILLIS,
    /** Requests per second and core up to which callers are sent to colocated routers only. */
    val colocatedRequestsPerCore: Double = COLOCATED_REQUESTS_PER_CORE,
    /** A router without a report for this long is removed from the tables. */
    val routerExpiryMillis: Long = ROUTER_EXPIRY_MILLIS,
    /** Time for which a new leader collects reports before it publishes a list of routers. */
    val routerDiscoveryMillis: Long = ROUTER_DISCOVERY_MILLIS,
    /** A member without contact for this long may be replaced by a replica on another VM. */
    val replicaTimeoutMillis: Long = REPLICA_TIMEOUT_MILLIS,
    /** Disks that may be lost at the same time without the loss of a confirmed publication. */
    val toleratedLosses: Int = TOLERATED_LOSSES,
    /**
     * Time for which a new leader confirms no publication while its quorum is not larger than [toleratedLosses]. After
     * it, the group is as large as the running hosts allow, and publications are confirmed with less durability.
     */
    val groupCompletionMillis: Long = GROUP_COMPLETION_MILLIS,
    /** Interval of join requests, and the delay before the first one. */
    val joinRetryMillis: Long = JOIN_RETRY_MILLIS,
    /**
     * Demand for which a colocated router may hold tokens in advance. With 0 it requests the tokens of each request, at
     * the cost of a round trip, so that a crash of the router strands none.
     */
    val colocatedHorizonMillis: Long = COLOCATED_HORIZON_MILLIS,
    /** Longest horizon of other routers, which a network partition may separate from the control processes. */
    val defaultHorizonMillis: Long = DEFAULT_HORIZON_MILLIS,
    /** Routers hold tokens in advance for at most the time until a budget is spent, divided by this. */
    val horizonDivisor: Long = HORIZON_DIVISOR,
    /**
     * All routers together hold in advance at most the unspent tokens of a budget divided by this, whatever their
     * number, so that a loss of all VMs strands a bounded part of what is left.
     */
    val advanceDivisor: Long = ADVANCE_DIVISOR,
    /**
     * Percentage of an organisation's demand above which its callers count as persistent callers of one router. Such a
     * router holds tokens for a network partition even if it is colocated.
     */
    val persistentCallersPercent: Long = PERSISTENT_CALLERS_PERCENT,
    /** Time for which routers can report answers on a suspected prompt part before it is quarantined. */
    val suspicionMillis: Long = SUSPICION_MILLIS,
    /** Time until a quarantined part is probed. It doubles with each probe that crashes an engine. */
    val firstQuarantineMillis: Long = FIRST_QUARANTINE_MILLIS,
    /**
     * The same for a part on which no answer has ever begun, if too few answers began on others to be sure. After a
     * probe that crashes an engine it is quarantined like any other.
     */
    val provisionalQuarantineMillis: Long = PROVISIONAL_QUARANTINE_MILLIS,
    val maximumQuarantineMillis: Long = MAXIMUM_QUARANTINE_MILLIS,
    /** Time for which one router may send the probe before another one may. */
    val probeTurnMillis: Long = PROBE_TURN_MILLIS,
    /** A quarantine whose probe has been due for this long without a request is dropped. */
    val idleQuarantineMillis: Long = IDLE_QUARANTINE_MILLIS,
    /**
     * A version that has left the platform's list for this long is forgotten. It exceeds the time for which callers
     * continue streams, since routes time out after seconds.
     */
    val streamRetentionMillis: Long = STREAM_RETENTION_MILLIS,
    /** Entries and command characters after which a snapshot replaces the log. */
    val snapshotEntries: Int = SNAPSHOT_ENTRIES,
    val snapshotCharacters: Long = SNAPSHOT_CHARACTERS,
    val consensus: ConsensusSettings = ConsensusSettings(
        minimumElectionMillis = MINIMUM_ELECTION_MILLIS,
        maximumElectionMillis = MAXIMUM_ELECTION_MILLIS,
    ),
) {
    /** Voters of a complete group: after [toleratedLosses] a majority is left, and it holds every confirmed entry. */
    val wantedVoters: Int get() = 2 * toleratedLosses + 1

    companion object {
        /** Values of [toleratedLosses] whose complete group is within the size limit of the replicated log. */
        val TOLERABLE_LOSSES: IntRange = 0..(ConsensusSettings.MAXIMUM_MEMBERS - 1) / 2
    }
}
