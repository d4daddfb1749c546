/**
 * How long a request waits in a queue, and when the caller of a refused one should return. Times are in milliseconds.
 */
package org.ibismoor.admission.api

import org.ibismoor.core.api.SeededRandom

/** Callers honour a time to return up to this part of the time that they still have. */
private const val HONOURED_DIVISOR = 3

/** Time until [ahead] requests and one more have got room, of which [ratePerMilli] do so in each millisecond. */
fun expectedWaitMillis(ahead: Int, ratePerMilli: Double?): Long =
    if (ratePerMilli == null || ratePerMilli <= 0.0) 0 else ((ahead + 1) / ratePerMilli).toLong()

/**
 * Draws when the caller of a refused request should return: between [minimumMillis] and the end of the time in which
 * the queue empties, so that callers refused together do not return together. Callers honour a time only up to a part
 * of their [remainingMillis], so none is later; one with little time left returns earlier than [minimumMillis].
 */
fun drawRetryAfterMillis(
    minimumMillis: Long,
    emptyingMillis: Long,
    remainingMillis: Long,
    random: SeededRandom,
): Long {
    val emptyAt = minimumMillis + maxOf(minimumMillis, emptyingMillis)
    val latest = minOf(emptyAt, remainingMillis / HONOURED_DIVISOR).coerceAtLeast(1)
    val earliest = minOf(minimumMillis, latest / 2)
    return earliest + random.below(latest - earliest + 1)
}
