/**
 * Use of an organisation's allowance by one router session, in tokens. Part of a router's report.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId

@Serializable
data class AllowanceUsage(
    val organisation: OrganisationId,
    /** Tokens returned since the session began. The session lowers its own limit before it reports them. */
    val returned: Long,
    /** Tokens spent by completed requests since the session began. */
    val settled: Long,
    /** Measured rate, in tokens per second, at which requests at the router reserve tokens. */
    val demandPerSecond: Double,
    /** Tokens requested in addition to those held. */
    val wanted: Long,
    /** The part of [wanted] for which requests are waiting. */
    val needed: Long,
    /** [demandPerSecond] over a longer time; 0 from a router of an earlier release. */
    val sustainedDemandPerSecond: Double = 0.0,
)
