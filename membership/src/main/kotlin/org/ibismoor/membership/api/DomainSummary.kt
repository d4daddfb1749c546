/**
 * Summary of a domain, which its control process sends to the others each second: the routers with heartbeats there,
 * the reports of the upstreams that it polls, and the lowest configuration number reported by its live routers (null if
 * there are none).
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
