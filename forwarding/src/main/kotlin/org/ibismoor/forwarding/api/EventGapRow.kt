/**
 * Mean time between two events of the streams that an upstream has completed, which shows how fast it works compared
 * with the others of its group. The time to the first event does not: it depends on the prompt and on what is cached.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class EventGapRow(
    val meanMillis: Double,
    /** Number of measurements in the mean as of [updatedAt]; older ones count for less. */
    val weight: Double,
    val updatedAt: Timestamp,
)
