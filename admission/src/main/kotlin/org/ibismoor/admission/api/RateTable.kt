/**
 * The usual rates of all organisations at one router. They give the weights of the turns: an organisation gets room in
 * proportion to its usual traffic, so that an excess of one takes nothing from the others.
 */
package org.ibismoor.admission.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp

/** Weight of an organisation with the mean rate; fine enough that rounding does not favour some of them. */
private const val MEAN_WEIGHT = 16.0
private const val MAXIMUM_WEIGHT = 256.0

data class RateTable(
    val rows: PersistentMap<OrganisationId, RateRow> = persistentHashMapOf(),
    /** The requests of all organisations together, with those above their limits. */
    val all: RateRow? = null,
) {
    fun withArrival(organisation: OrganisationId, now: Timestamp): RateTable {
        val row = rows[organisation] ?: RateRow(now, now)
        val everything = (all ?: RateRow(now, now)).copy(credit = Double.MAX_VALUE)
        return RateTable(
            rows.put(organisation, row.withArrival(now, meanRateAt(now))),
            everything.withArrival(now, floor = 0.0),
        )
    }

    fun isAboveUsual(organisation: OrganisationId): Boolean = rows[organisation]?.isAboveUsual ?: false

    /** Share of the turns of [organisation], from 1. */
    fun weightOf(organisation: OrganisationId, now: Timestamp): Int {
        val mean = meanRateAt(now)
        val rate = rows[organisation]?.rateAt(now)
        val weight = if (rate == null || mean <= 0.0) MEAN_WEIGHT else MEAN_WEIGHT * rate / mean
        return weight.coerceIn(1.0, MAXIMUM_WEIGHT).toInt()
    }

    /** An organisation with a lower rate than the mean one takes no room of others before it reaches that one. */
    private fun meanRateAt(now: Timestamp): Double =
        if (rows.isEmpty()) 0.0 else (all?.rateAt(now) ?: 0.0) / rows.size
}
