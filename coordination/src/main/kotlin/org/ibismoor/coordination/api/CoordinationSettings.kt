/**
 * Limits and times of a control replica, in milliseconds unless stated.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusSettings

private const val SILENT_ROUTER_MILLIS = 2_500L
private const val FORGOTTEN_ROUTER_MILLIS = 20_000L
private const val NEAR_ROUTER_MILLIS = 1_300L
private const val ROUTER_DISCOVERY_MILLIS = 800L
private const val SILENT_REPLICA_MILLIS = 3_000L
private const val JOIN_MILLIS = 500L
private const val NEAR_REQUESTS_PER_CORE = 100.0
private const val NEAR_HORIZON_MILLIS = 0L
private const val AMPLE_HORIZON_MILLIS = 10_000L
private const val SHORT_HORIZON_MILLIS = 1_500L
private const val SHORT_BUDGET_PERCENT = 33L
private const val HOME_DEMAND_PERCENT = 95L
private const val MINIMUM_ELECTION_MILLIS = 450L
private const val MAXIMUM_ELECTION_MILLIS = 900L
private const val SNAPSHOT_ENTRIES = 1_000
private const val SNAPSHOT_CHARACTERS = 1_000_000L

data class CoordinationSettings(
    /** A router that has not reported for this long is not listed, unless most routers are silent. */
    val silentRouterMillis: Long = SILENT_ROUTER_MILLIS,
    /** The same for a router on the VM of a replica: it holds no tokens, so callers have to leave it sooner. */
    val nearRouterMillis: Long = NEAR_ROUTER_MILLIS,
    /** Requests a second for each core up to which callers are sent only to routers on the VMs of replicas. */
    val nearRequestsPerCore: Double = NEAR_REQUESTS_PER_CORE,
    /** A router that has not reported for this long is forgotten. */
    val forgottenRouterMillis: Long = FORGOTTEN_ROUTER_MILLIS,
    /** A new leader waits this long for reports before it tells anyone which routers there are. */
    val routerDiscoveryMillis: Long = ROUTER_DISCOVERY_MILLIS,
    /** A member that was not heard for this long may be replaced by another VM. */
    val silentReplicaMillis: Long = SILENT_REPLICA_MILLIS,
    /** Time between requests to join, and before the first one without a leader. */
    val joinMillis: Long = JOIN_MILLIS,
    /**
     * Demand that a router on the VM of a replica may hold tokens for. With 0 it asks for the tokens of each request,
     * which costs a round trip, so that its death strands none.
     */
    val nearHorizonMillis: Long = NEAR_HORIZON_MILLIS,
    /** The same for another router, which a cut may separate from control. */
    val ampleHorizonMillis: Long = AMPLE_HORIZON_MILLIS,
    /** The same when less than [shortBudgetPercent] of a budget is left, so that a loss of all VMs strands less. */
    val shortHorizonMillis: Long = SHORT_HORIZON_MILLIS,
    val shortBudgetPercent: Long = SHORT_BUDGET_PERCENT,
    /**
     * A router with more than this part of an organisation's demand has callers that stay at it, so it holds tokens for
     * a cut also on the VM of a replica.
     */
    val homeDemandPercent: Long = HOME_DEMAND_PERCENT,
    /** Entries and characters of commands after which the log is replaced by a snapshot. */
    val snapshotEntries: Int = SNAPSHOT_ENTRIES,
    val snapshotCharacters: Long = SNAPSHOT_CHARACTERS,
    val consensus: ConsensusSettings = ConsensusSettings(
        minimumElectionMillis = MINIMUM_ELECTION_MILLIS,
        maximumElectionMillis = MAXIMUM_ELECTION_MILLIS,
    ),
)
