/**
 * Declared settings of the fleet.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.configuration.api.FleetSettings
import org.ibismoor.configuration.api.ReservationMode

private val MODES = mapOf("full" to ReservationMode.FULL, "expected" to ReservationMode.EXPECTED)

internal data class DeclaredSettings(val heldBackPerMille: Int, val reservation: ReservationMode)

internal fun readSettings(node: RecordNode): ParseResult<DeclaredSettings> {
    val defaults = FleetSettings()
    val heldBack = node.optional("held_back", FractionType, defaults.heldBackPerMille)
    val reservation = node.optional("reservation", ChoiceType(MODES), defaults.reservation)
    return node.build(listOf(heldBack, reservation)) {
        DeclaredSettings(heldBack.located.value, reservation.located.value)
    }
}
