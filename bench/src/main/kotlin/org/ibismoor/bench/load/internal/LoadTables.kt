/**
 * State of a run: the arrivals of each path, the requests in flight, and the number of measured requests by result.
 */
package org.ibismoor.bench.load.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.Timestamp

internal data class LoadTables(
    val arrivals: PersistentMap<LoadPath, ArrivalRow>,
    val measuredFrom: Timestamp,
    val measuredUntil: Timestamp,
    val phase: LoadPhase = LoadPhase.WARM_UP,
    val inFlight: PersistentMap<Long, RequestRow> = persistentHashMapOf(),
    val results: PersistentMap<ResultKey, ResultRow> = persistentHashMapOf(),
    val lastNumber: Long = 0,
)

/** [startedCount] requests have started since [startAt]; [rate] are due each second. */
internal data class ArrivalRow(val startAt: Timestamp, val rate: Long, val startedCount: Long = 0)

internal data class RequestRow(val path: LoadPath, val isMeasured: Boolean)

/** [code] is the code of an error answer or a constant of [RequestEnded]. */
internal data class ResultKey(val path: LoadPath, val code: String)

internal data class ResultRow(val requests: Long = 0, val tokens: Long = 0)

internal enum class LoadPhase { WARM_UP, MEASURED, ENDING, ENDED }
