/**
 * The pace at which one router may send requests to one upstream.
 */
package org.ibismoor.pacing.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp

data class PaceRow(
    /** Limit of the requests in flight; null if there is none. */
    val ramp: RampRow? = null,
    /** End of the time in which the upstream is cold; null if it is not known to be. */
    val coldUntil: Timestamp? = null,
    /** Latest sends, oldest first. They are kept also while the upstream is warm, since it may become cold any time. */
    val sends: PersistentList<Timestamp> = persistentListOf(),
    val random: SeededRandom = SeededRandom(0),
) {
    fun isCold(now: Timestamp): Boolean = coldUntil.let { it != null && it > now }

    /** True if a request may be sent with [active] in flight. A null [limit] means that there is no cold bound. */
    fun allows(active: Int, limit: ColdLimit?, now: Timestamp): Boolean =
        allowsCold(limit, now) && allowsRamp(active, now)

    /** True if the cold bound permits a request. The bound is never exceeded on purpose. */
    fun allowsCold(limit: ColdLimit?, now: Timestamp): Boolean =
        limit == null || !isCold(now) || sends.count { now - it < limit.windowMillis } < limit.sends

    /** True if the limit in flight permits a request. Exceeding it is better than to refuse a caller. */
    fun allowsRamp(active: Int, now: Timestamp): Boolean =
        ramp == null || ramp.opensAt <= now && active < ramp.limit

    /**
     * True if the upstream is cold and has had none of this router's requests within the window. Such an upstream is
     * preferred, since only its few senders can use it, and it may be slower than the others.
     */
    fun isUntried(limit: ColdLimit, now: Timestamp): Boolean =
        isCold(now) && sends.none { now - it < limit.windowMillis }

    /** Time until the cold bound permits a request, in milliseconds; 0 if it does now. */
    fun coldWaitMillis(limit: ColdLimit, now: Timestamp): Long {
        val end = coldUntil?.let { it - now } ?: 0
        val isAllowed = allowsCold(limit, now)
        val firstOfWindow = sends.getOrNull(sends.size - limit.sends)
        return when {
            isAllowed -> 0
            limit.sends == 0 || firstOfWindow == null -> end
            else -> minOf(end, limit.windowMillis - (now - firstOfWindow))
        }
    }
}

/** Limit of the requests that this router has in flight at an upstream that has started, recovered or refused. */
data class RampRow(
    val limit: Double,
    /** The limit doubles with each round of answers until the first refusal or long delay. */
    val isDoubling: Boolean,
    val startedAt: Timestamp,
    /** No request is sent before. Routers draw different times if there are more of them than slots. */
    val opensAt: Timestamp,
    /** Answers to requests that were sent before are not measured, since they are from before the last decrease. */
    val measuredFrom: Timestamp,
    /** Exponentially weighted delay of answers for one unit of work; null before the first answer. */
    val delayMillis: Double? = null,
    /** Lowest [delayMillis]. It rises with each long delay, so that a lasting change counts as usual after a while. */
    val bestMillis: Double? = null,
)
