/**
 * The mean time, in milliseconds, from sending a request to its end, weighted towards the latest requests.
 */
package org.ibismoor.admission.api

/** Weight of the latest request, so that about the last twenty count. */
private const val NEWEST_WEIGHT = 0.05

/** The rest of the time of a request is left for its wait. */
private const val MAXIMUM_PART = 0.75

data class WorkTimeRow(val meanMillis: Double? = null) {
    fun withWork(millis: Long): WorkTimeRow =
        WorkTimeRow(meanMillis?.let { it + (millis - it) * NEWEST_WEIGHT } ?: millis.toDouble())

    /**
     * The expected time of a request that may take [limitMillis]. It is bounded by a part of the limit: a mean above
     * the limit would otherwise refuse every request that waits.
     */
    fun expectedMillis(limitMillis: Long): Long =
        minOf(meanMillis?.toLong() ?: 0, (limitMillis * MAXIMUM_PART).toLong()).coerceAtLeast(0)
}
