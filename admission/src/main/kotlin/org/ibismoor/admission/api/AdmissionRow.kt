/**
 * The queue of one upstream group at one router, with what the router has measured of the group.
 */
package org.ibismoor.admission.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.Timestamp

data class AdmissionRow<K>(
    val queue: QueueRow<K> = QueueRow(),
    val releases: ReleaseRow = ReleaseRow(),
    /** Duration of work of all requests together, of each route, and of each size of requests there. */
    val work: WorkTimeRow = WorkTimeRow(),
    val routeWork: PersistentMap<RouteId, WorkTimeRow> = persistentHashMapOf(),
    val classWork: PersistentMap<WorkClass, WorkTimeRow> = persistentHashMapOf(),
) {
    fun withWork(route: RouteId, cost: Long, millis: Long): AdmissionRow<K> {
        val workClass = workClassOf(route, cost)
        return copy(
            work = work.withWork(millis),
            routeWork = routeWork.put(route, (routeWork[route] ?: WorkTimeRow()).withWork(millis)),
            classWork = classWork.put(workClass, (classWork[workClass] ?: WorkTimeRow()).withWork(millis)),
        )
    }

    /** Expected time of the work of a request of [route] at [cost] that may take [limitMillis]. */
    fun expectedWorkMillis(route: RouteId, cost: Long, limitMillis: Long): Long =
        (classWork[workClassOf(route, cost)] ?: routeWork[route] ?: work).expectedMillis(limitMillis)

    /** Time until [entry] gets room, while [inFlight] requests of this router are at the group. */
    fun expectedWaitMillis(entry: QueueEntry<K>, policy: QueuePolicy, inFlight: Int, now: Timestamp): Long =
        expectedWaitMillis(policy.countAhead(queue, entry), rateAt(inFlight, now))

    /** Time until the whole queue has got room. */
    fun emptyingMillis(inFlight: Int, now: Timestamp): Long = expectedWaitMillis(queue.size, rateAt(inFlight, now))

    /**
     * Requests that get room in each millisecond: those of late, or those in flight by the time that each takes if that
     * is more. The first lags when traffic has just risen, and the second is unknown until work has ended.
     */
    private fun rateAt(inFlight: Int, now: Timestamp): Double? {
        val meanMillis = work.meanMillis?.takeIf { it > 0 }
        val ending = if (meanMillis == null) null else inFlight / meanMillis
        return listOfNotNull(releases.rateAt(now), ending).maxOrNull()
    }
}
