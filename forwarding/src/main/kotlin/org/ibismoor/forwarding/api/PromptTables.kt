/**
 * A router's tables of prompt parts that crash engines: its own evidence, and the leader's decisions.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.CrashEvidence
import org.ibismoor.core.api.Timestamp

data class PromptTables(
    val evidence: CrashEvidence = CrashEvidence(),
    /** When an answer last began on each part, for the leader's questions about suspects. */
    val begunParts: PersistentMap<String, Timestamp> = persistentHashMapOf(),
    /** Parts that the leader suspects. */
    val suspects: Set<String> = emptySet(),
    val quarantines: PersistentMap<String, HeldQuarantine> = persistentHashMapOf(),
)

/** A quarantine in force at this router. */
data class HeldQuarantine(
    /** When the first probe is due. */
    val until: Timestamp,
    val failedProbes: Int = 0,
    /** Without an answer of a leader until then, the quarantine ends. */
    val expiresAt: Timestamp,
    /** This router may send one request with the part. */
    val isProbeAllowed: Boolean = false,
    /** The request that was sent as the probe. */
    val probe: RequestNumber? = null,
)
