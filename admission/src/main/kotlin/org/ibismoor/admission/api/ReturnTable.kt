/**
 * Contents of refused requests, and when their callers were told to return. A request that returns earlier is a
 * repeated attempt, which takes no room from others.
 */
package org.ibismoor.admission.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

data class ReturnTable(
    val returns: PersistentMap<RequestDigest, Timestamp> = persistentHashMapOf(),
    val due: DueQueue<RequestDigest> = DueQueue.empty(),
) {
    fun withRefusal(digest: RequestDigest, returnAt: Timestamp): ReturnTable =
        ReturnTable(returns.put(digest, returnAt), due.plus(returnAt, digest))

    fun isEarly(digest: RequestDigest, now: Timestamp): Boolean = returns[digest]?.let { it > now } ?: false

    /** Drops the contents whose callers may return by now. */
    fun withoutDue(now: Timestamp): ReturnTable {
        val taken = due.take(now)
        if (taken.entries.isEmpty()) return this
        val next = returns.mutate { table ->
            taken.entries.forEach { entry -> if (table[entry.id] == entry.time) table.remove(entry.id) }
        }
        return ReturnTable(next, taken.rest)
    }
}
