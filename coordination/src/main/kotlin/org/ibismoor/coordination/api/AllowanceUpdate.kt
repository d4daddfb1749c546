/**
 * An organisation's allowance at one router session, as the leader answers it.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId

@Serializable
data class AllowanceUpdate(
    val organisation: OrganisationId,
    /** Tokens issued to the session in all. */
    val issued: Long,
    /** Tokens of the budget that no session holds or has spent. */
    val unissued: Long,
    /**
     * Tokens of the budget that may still be spent: what running sessions have not reported as spent, and what is
     * unissued. What ended sessions had not returned counts as spent.
     */
    val unspent: Long,
    /** The even part of the whole demand of a router to which callers are sent, in tokens a second; 0 at others. */
    val evenDemandPerSecond: Double,
    /** How far ahead of its demand the router may hold tokens; with 0 it holds those of requests under way only. */
    val horizonMillis: Long,
)
