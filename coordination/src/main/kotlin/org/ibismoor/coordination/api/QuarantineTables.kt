/**
 * The leader's tables of prompt parts that crash engines. They are local to the leader; a new one rebuilds them from
 * the reports of the routers, which repeat their evidence and the quarantines in force.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Timestamp

data class QuarantineTables(
    val evidence: CrashEvidence = CrashEvidence(),
    /** When each suspected part became one. */
    val suspects: PersistentMap<String, Timestamp> = persistentHashMapOf(),
    val quarantines: PersistentMap<String, QuarantineRow> = persistentHashMapOf(),
) {
    val isEmpty: Boolean get() = evidence.isEmpty && suspects.isEmpty() && quarantines.isEmpty()
}

data class QuarantineRow(
    /** When the part became a candidate; an answer that began on it since then proves it sound. */
    val since: Timestamp,
    /** When the first probe is due. */
    val until: Timestamp,
    val failedProbes: Int = 0,
    /** Distinct moments of the crashes that led to the quarantine; 0 if an earlier leader decided on it. */
    val moments: Int = 0,
    val probe: ProbeRow? = null,
    /** True if it rests on no answer ever having begun on the part, so that any answer at whatever time ends it. */
    val isProvisional: Boolean = false,
)

/** The router that may send one request with the part, until [until]. */
data class ProbeRow(val router: RouterId, val until: Timestamp)
