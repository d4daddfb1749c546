/**
 * A router in the list for callers: the address on which it accepts requests, its failure domain, and the processor
 * cores of its VM.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId

@Serializable
data class RouterEntry(
    val address: String,
    val domain: FailureDomainId,
    val cores: Double = 1.0,
    /** Free capacity in requests per second; null if callers are not placed by it. */
    val room: Int? = null,
    /** Requests per second in thousandths of the router's capacity; null without [room]. */
    val loadPerMille: Int? = null,
)
