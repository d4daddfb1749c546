/**
 * An upstream in the platform's list.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

@Serializable
data class UpstreamEntry(
    val id: UpstreamId,
    val group: UpstreamGroupId,
    /** IP address and port. */
    val address: String,
    val domain: FailureDomainId,
    /** Number of requests that the upstream processes concurrently. */
    val slots: Int,
    /** The platform reports the upstream as draining. */
    val isLeaving: Boolean,
    /** Remaining time for which the upstream is slow after its start. */
    val coldMillis: Long,
    val version: SoftwareVersion = SoftwareVersion.UNKNOWN,
)
