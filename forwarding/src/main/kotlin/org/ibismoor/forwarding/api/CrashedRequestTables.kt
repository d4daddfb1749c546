/**
 * A router's tables of requests that crash upstreams: its own evidence, and the leader's decisions.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.RequestCrashTables
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

data class CrashedRequestTables(
    val evidence: RequestCrashTables = RequestCrashTables(),
    /** When each request was last answered, for the leader's questions about suspects. */
    val answered: PersistentMap<RequestDigest, Timestamp> = persistentHashMapOf(),
    /** Requests that the leader suspects. */
    val suspects: Set<RequestDigest> = emptySet(),
    val quarantines: PersistentMap<RequestDigest, HeldRequestQuarantine> = persistentHashMapOf(),
)

/** A quarantine in force at this router. */
data class HeldRequestQuarantine(
    val crashes: Int,
    /** When the quarantine ends, or the first probe is due. */
    val until: Timestamp,
    /** Without an answer of a leader until then, the quarantine ends. */
    val expiresAt: Timestamp,
    /** This router may send the request once. */
    val isProbeAllowed: Boolean = false,
    /** The request that was sent as the probe. */
    val probe: RequestNumber? = null,
)
