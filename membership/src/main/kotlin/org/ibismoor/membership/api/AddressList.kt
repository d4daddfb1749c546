/**
 * Answer to a caller's query for router addresses: the addresses in order of preference, how long to cache them, and
 * the prefix for homed request keys.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId

@Serializable
data class AddressList(
    val addresses: List<Address>,
    @SerialName("time_to_live_s") val timeToLiveSeconds: Int,
    @SerialName("key_prefix") val keyPrefix: String,
)

/** A router that accepts requests. */
@Serializable
data class Address(val url: String, val domain: FailureDomainId)
