/**
 * A point on the monotonic clock of one process, in milliseconds since an arbitrary start. Timestamps of different
 * processes cannot be compared.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class Timestamp(val millis: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = millis.compareTo(other.millis)

    operator fun plus(durationMillis: Long): Timestamp = Timestamp(millis + durationMillis)

    /** Milliseconds from [other] to this point; negative if [other] is later. */
    operator fun minus(other: Timestamp): Long = millis - other.millis
}
