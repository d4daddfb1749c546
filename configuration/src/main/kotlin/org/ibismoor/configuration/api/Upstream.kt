/**
 * An upstream process: a model engine or a worker of a plain service. [baseUrl] consists of scheme, IP number and port.
 * With a [placement] the fleet sends orders until the upstream reports that placement.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

@Serializable
data class Upstream(
    val id: UpstreamId,
    val group: UpstreamGroupId,
    val domain: FailureDomainId,
    val baseUrl: String,
    val checksFencing: Boolean = false,
    val supportsResume: Boolean = false,
    val placement: Placement? = null,
)
