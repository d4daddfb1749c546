/**
 * The allowance of an organisation at one router session, part of the leader's answer to a report.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId

@Serializable
data class AllowanceUpdate(
    val organisation: OrganisationId,
    /** Tokens issued since the session began. */
    val issued: Long,
    /** Tokens of the budget that are neither held nor spent by a session. */
    val unissued: Long,
    /**
     * Tokens of the budget that may still be spent: unissued tokens, and tokens that running sessions hold and have not
     * reported as spent. Tokens that an ended session did not return count as spent.
     */
    val unspent: Long,
    /** Total demand in tokens per second divided by the routers that callers are sent to; 0 at any other router. */
    val evenDemandPerSecond: Double,
    /** Time of demand for which the router may hold tokens in advance; with 0 only those of requests in progress. */
    val horizonMillis: Long,
    /** Most tokens that the router may hold in advance. A leader of an earlier release does not limit them. */
    val advanceLimit: Long = Long.MAX_VALUE,
)
