/**
 * Wall-clock time in milliseconds since 1970-01-01 UTC. It is informational, in ledger rows and generated keys; no
 * safety decision depends on it.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class WallTime(val epochMillis: Long) : Comparable<WallTime> {
    override fun compareTo(other: WallTime): Int = epochMillis.compareTo(other.epochMillis)
}
