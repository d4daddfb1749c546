/**
 * How much of a budget a model request reserves: the full upper bound of its cost, or the expected cost with
 * extensions while the answer streams.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class ReservationMode {
    @SerialName("full")
    FULL,

    @SerialName("expected")
    EXPECTED,
}
