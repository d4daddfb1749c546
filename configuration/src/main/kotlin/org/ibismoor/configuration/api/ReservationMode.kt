/**
 * How much of its budget a model request reserves: the upper bound of its cost, or its expected cost, which is extended
 * while the answer streams.
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
