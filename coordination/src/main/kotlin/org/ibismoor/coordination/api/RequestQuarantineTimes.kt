/**
 * Rules of a request's quarantine, which the leader and a router without one share.
 */
package org.ibismoor.coordination.api

/** Crashes after which a request is refused for a short time. The next try then shows whether it was chance. */
private const val PROVISIONAL_CRASHES = 2

/** Crashes after which chance is improbable, and after which only few retries may reach an upstream. */
private const val CONFIRMED_CRASHES = 3

/** Crashes at different moments that are needed for a long quarantine, as upstreams may fail together. */
private const val CONFIRMED_MOMENTS = 2

/** Long enough for routers to learn of it, short enough for a sound request that was lost in two crashes by chance. */
private const val PROVISIONAL_MILLIS = 10_000L

private const val CONFIRMED_MILLIS = 600_000L
private const val MAXIMUM_MILLIS = 86_400_000L
private const val MAXIMUM_DOUBLINGS = 16

/** True if a request with the crashes of [row] is to be refused. */
fun isRequestQuarantined(row: CrashedRequestRow): Boolean = row.count >= PROVISIONAL_CRASHES

/** True if the crashes of [row] have no common cause, such as a loss of power of many upstreams. */
fun isConfirmed(row: CrashedRequestRow): Boolean = row.moments >= CONFIRMED_MOMENTS

/** True if the request crashed so many upstreams that it may be sent as a probe only. */
fun isProbeNeeded(crashes: Int): Boolean = crashes >= CONFIRMED_CRASHES

/**
 * Duration of a quarantine. It doubles with each further crash, so that few retries reach upstreams. If the crashes are
 * not confirmed, a first probe follows soon, since the request may only have been at upstreams that failed together.
 */
fun requestQuarantineMillis(crashes: Int, isConfirmed: Boolean): Long {
    if (!isProbeNeeded(crashes) || !isConfirmed) return PROVISIONAL_MILLIS
    val doublings = (crashes - CONFIRMED_CRASHES).coerceAtMost(MAXIMUM_DOUBLINGS)
    return (CONFIRMED_MILLIS shl doublings).coerceAtMost(MAXIMUM_MILLIS)
}
