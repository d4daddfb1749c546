/**
 * Evidence on requests that crash upstreams. A crash accuses each request that waited at the upstream; an answer to a
 * request clears it of all earlier crashes, since an upstream never answers a deadly one.
 *
 * A request that was never answered may have been sent by several callers at once, so each crash counts. One that was
 * answered lately is common, and waits at many upstreams when they lose power together; their crashes count once.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp
import kotlin.math.abs

/** A request that comes again later than this after its last crash or answer is taken for a new one. */
private const val REQUEST_LIFETIME_MILLIS = 300_000L

private const val MAXIMUM_REQUESTS = 2_048
private const val MAXIMUM_CRASHES_OF_REQUEST = 16

data class RequestCrashRow(val upstream: String, val at: Timestamp, val isRepeat: Boolean = false) {
    fun isSameCrash(other: RequestCrashRow): Boolean =
        upstream == other.upstream && abs(at - other.at) < CRASH_SPAN_MILLIS
}

/** Crashes of a request since its last answer, in the order of time. */
data class CrashedRequestRow(
    val crashes: PersistentList<RequestCrashRow> = persistentListOf(),
    val answeredAt: Timestamp? = null,
) {
    /** Crashes that count against the request. */
    val count: Int get() = if (answeredAt == null) crashes.size else moments

    /** Crashes that no common failure of upstreams explains. */
    val moments: Int
        get() = crashes.withIndex().count { (index, crash) ->
            index == 0 || crash.isRepeat || crash.at - crashes[index - 1].at >= MOMENT_MILLIS
        }

    val lastCrashAt: Timestamp? get() = crashes.lastOrNull()?.at
}

data class RequestCrashTables(val requests: PersistentMap<RequestDigest, CrashedRequestRow> = persistentHashMapOf()) {
    val isEmpty: Boolean get() = requests.isEmpty()

    fun countOf(digest: RequestDigest): Int = accusationOf(digest).count

    /**
     * The crashes that accuse the request. If many upstreams crashed together and it was at few of them, they had a
     * cause of their own, such as a loss of power.
     */
    fun accusationOf(digest: RequestDigest): CrashedRequestRow {
        val row = requests[digest] ?: return CrashedRequestRow()
        return row.copy(crashes = row.crashes.filterNot { isGroupFailure(row, it) }.toPersistentList())
    }

    /** Adds a [crash], which may be reported by several routers and repeatedly. */
    fun withCrash(digest: RequestDigest, crash: RequestCrashRow): RequestCrashTables {
        val row = requests[digest] ?: CrashedRequestRow()
        val isCleared = row.answeredAt?.let { crash.at <= it } ?: false
        val isKnown = row.crashes.any { it.isSameCrash(crash) }
        if (isCleared || isKnown) return this
        val crashes = (row.crashes + crash).sortedBy { it.at }.takeLast(MAXIMUM_CRASHES_OF_REQUEST)
        return withRoom().withRow(digest, row.copy(crashes = crashes.toPersistentList()))
    }

    /** The request was answered at [at]; it needs no row if it has none. */
    fun withAnswered(digest: RequestDigest, at: Timestamp): RequestCrashTables {
        val row = requests[digest] ?: return this
        val answeredAt = row.answeredAt?.let { maxOf(it, at) } ?: at
        val crashes = row.crashes.filter { it.at > answeredAt }.toPersistentList()
        return withRow(digest, CrashedRequestRow(crashes, answeredAt))
    }

    /** The same for a request that may have no row, so that later reports of earlier crashes do not count. */
    fun withCleared(digest: RequestDigest, at: Timestamp): RequestCrashTables =
        withRow(digest, requests[digest] ?: CrashedRequestRow()).withAnswered(digest, at)

    /** The crashes of [culprit] do not count against requests that were present at fewer crashes. */
    fun withCulprit(culprit: RequestDigest): RequestCrashTables {
        val row = requests[culprit] ?: return this
        val others = requests.filter { (digest, other) ->
            digest != culprit && other.count < row.count && other.crashes.any(row::hasCrash)
        }
        val cleared = others.mapValues { (_, other) ->
            other.copy(crashes = other.crashes.filterNot(row::hasCrash).toPersistentList())
        }
        return if (cleared.isEmpty()) this else copy(requests = requests.putAll(cleared))
    }

    fun hasCrash(digest: RequestDigest, crash: RequestCrashRow): Boolean = requests[digest]?.hasCrash(crash) ?: false

    fun withoutExpired(now: Timestamp): RequestCrashTables {
        val expired = requests.filterValues { row ->
            val newest = listOfNotNull(row.lastCrashAt, row.answeredAt).maxOrNull()
            newest == null || now - newest > REQUEST_LIFETIME_MILLIS
        }.keys
        return if (expired.isEmpty()) this else copy(requests = requests.mutate { it.keys.removeAll(expired) })
    }

    private fun withRow(digest: RequestDigest, row: CrashedRequestRow): RequestCrashTables =
        copy(requests = requests.put(digest, row))

    /** In a full table, the requests with fewest crashes make room, the oldest first. */
    private fun withRoom(): RequestCrashTables {
        if (requests.size < MAXIMUM_REQUESTS) return this
        val order = compareBy<Map.Entry<RequestDigest, CrashedRequestRow>>(
            { (_, row) -> row.count },
            { (_, row) -> row.lastCrashAt?.millis ?: 0 },
        )
        val dropped = requests.entries.sortedWith(order).take(MAXIMUM_REQUESTS / 2).map { it.key }.toSet()
        return copy(requests = requests.mutate { it.keys.removeAll(dropped) })
    }
}

private fun RequestCrashTables.isGroupFailure(row: CrashedRequestRow, crash: RequestCrashRow): Boolean {
    val together = requests.values.flatMap { it.crashesAt(crash.at) }.distinct().size
    return together > MAXIMUM_CRASHES_AT_ONCE && row.crashesAt(crash.at).distinct().size * 2 <= together
}

/** Upstreams that crashed under the request at the moment [at]. */
private fun CrashedRequestRow.crashesAt(at: Timestamp): List<String> =
    crashes.filter { abs(it.at - at) < MOMENT_MILLIS }.map { it.upstream }

private fun CrashedRequestRow.hasCrash(crash: RequestCrashRow): Boolean = crashes.any { it.isSameCrash(crash) }
