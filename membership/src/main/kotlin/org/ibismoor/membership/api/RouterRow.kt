/**
 * A router in the router list of the fleet. [RouterRow.baseUrl] is the address for callers.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

@Serializable
data class RouterRow(
    val id: RouterId,
    val session: SessionId,
    val domain: FailureDomainId,
    val baseUrl: String,
    val state: RouterState,
    val inFlight: Int,
)
