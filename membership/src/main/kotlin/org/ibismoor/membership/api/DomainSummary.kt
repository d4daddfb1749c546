/**
 * What a control process tells the others each second about its domain: the routers that it hears, the reports of the
 * upstreams that it polls, and the lowest configuration number that its live routers report (null if it hears none).
 */
package org.ibismoor.membership.api

import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.ReplicaId

@Serializable
data class DomainSummary(
    val replica: ReplicaId,
    val sequence: Long,
    val routers: List<RouterRow>,
    val reports: List<UpstreamReport>,
    val lowestConfiguration: ConfigurationNumber? = null,
)
