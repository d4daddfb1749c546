/**
 * The faults of one soak in order of their begin, and their text form.
 */
package org.ibismoor.soak.internal.schedule

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

@Serializable
internal data class FaultSchedule(
    val seed: Long,
    val routers: Int,
    val seconds: Int,
    val faults: List<ScheduledFault>,
)

/** Times count from the moment at which the fleet serves its first requests. */
@Serializable
internal data class ScheduledFault(val number: Int, val beginMillis: Long, val endMillis: Long, val fault: Fault)

private val scheduleJson = Json { prettyPrint = true }

internal fun encodeSchedule(schedule: FaultSchedule): String = scheduleJson.encodeToString(schedule)

/** Throws `SerializationException` or `IllegalArgumentException` if [text] is not a schedule. */
internal fun decodeSchedule(text: String): FaultSchedule = scheduleJson.decodeFromString(text)
