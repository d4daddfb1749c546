/**
 * A router's periodic report to the leader, sent several times a second. Its counters only grow, so the leader
 * tolerates lost and repeated reports.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

@Serializable
data class RouterReport(
    val router: RouterId,
    /** One run of the router process. */
    val session: SessionId,
    val entry: RouterEntry,
    val state: RouterState,
    /** Version in force at the router; 0 without a configuration. */
    val configurationVersion: Long,
    /** Revision of the upstream list in use at the router. */
    val upstreamRevision: Long,
    /** Exponentially weighted rate of requests from callers. */
    val requestsPerSecond: Double,
    val usage: List<AllowanceUsage>,
    /** The router fetches configurations that an answer names; a router of an earlier release expects the document. */
    val isFetchingConfigurations: Boolean = false,
    /** Null if the router has nothing to report on prompt parts. */
    val prompts: PromptEvidence? = null,
    /** Null if the router has nothing to report on requests that crash upstreams. */
    val requests: RequestEvidence? = null,
    /** Null if the router has nothing to report or ask on the beginnings of streams. */
    val streams: StreamEvidence? = null,
    /** Callers are placed by room only if the routers are unequal; the entry of the router has a room all the same. */
    val isPlacementAutomatic: Boolean = false,
)
