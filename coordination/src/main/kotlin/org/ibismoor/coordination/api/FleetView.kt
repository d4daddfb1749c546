/**
 * What the leader derives from the rows of all routers. Every report needs it, and its cost grows with the number of
 * routers, so it is computed at intervals and not for each report.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

data class FleetView(
    val at: Timestamp,
    /** Routers that callers are sent to. */
    val callers: List<RouterEntry>,
    val demands: PersistentMap<OrganisationId, DemandRow>,
    /** Sums over all routers of the demand by which each takes part in what is held in advance. */
    val advanceWeights: PersistentMap<OrganisationId, Double>,
)

/** Demand for an organisation's tokens, in tokens per second: of all routers, and of the one that has most of it. */
data class DemandRow(val total: Double, val highest: Double, val highestSession: SessionId)
