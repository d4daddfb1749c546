/**
 * Settings of the whole fleet. [heldBackPerMille] is the part of each new grant, in thousandths, that stays in the pool
 * instead of being issued to failure domains.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable

private const val DEFAULT_HELD_BACK_PER_MILLE = 100

@Serializable
data class FleetSettings(
    val heldBackPerMille: Int = DEFAULT_HELD_BACK_PER_MILLE,
    val reservation: ReservationMode = ReservationMode.FULL,
)
