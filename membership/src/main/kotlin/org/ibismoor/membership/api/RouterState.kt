/**
 * Whether a router accepts new requests.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class RouterState {
    @SerialName("serving")
    SERVING,

    @SerialName("draining")
    DRAINING,
}
