/**
 * Idempotency key with the replica that it is homed at: `<domain>.<epoch>.<minute>~<opaque>`. Only the domain ledger of
 * that replica may claim it. [minute] is the wall-clock minute since 1970-01-01 UTC at which the key was generated and
 * gives its age. A domain name contains no `~`.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.WallTime

private const val MILLIS_PER_MINUTE = 60_000L

/** Keeps the age of any key in milliseconds within 64 bits. */
private const val MAXIMUM_MINUTE = 100_000_000_000L

data class HomedKey(val home: ReplicaId, val minute: Long, val opaque: String) {
    val text: String get() = "${prefix(home, minute)}$opaque"

    /** Milliseconds from the start of the minute of this key to [now]; negative if it lies in the future. */
    fun ageMillis(now: WallTime): Long = now.epochMillis - minute * MILLIS_PER_MINUTE

    companion object {
        /** Generates a key of [home]. [opaque] makes it unique. */
        fun generate(home: ReplicaId, now: WallTime, opaque: String): HomedKey =
            HomedKey(home, now.epochMillis / MILLIS_PER_MINUTE, opaque)

        /** Prefix to which a caller appends an opaque part of its own. */
        fun prefix(home: ReplicaId, now: WallTime): String = prefix(home, now.epochMillis / MILLIS_PER_MINUTE)

        /** Parses a key; null if [text] is a plain key. */
        fun parse(text: String): HomedKey? {
            val prefix = text.substringBefore('~', "")
            val home = ReplicaId.parse(prefix.substringBeforeLast('.', ""))
            val minute = prefix.substringAfterLast('.').toLongOrNull()
            val isHomed = home != null && minute != null && minute in 0..MAXIMUM_MINUTE
            return if (isHomed) HomedKey(checkNotNull(home), checkNotNull(minute), text.substringAfter('~')) else null
        }

        private fun prefix(home: ReplicaId, minute: Long): String = "$home.$minute~"
    }
}
