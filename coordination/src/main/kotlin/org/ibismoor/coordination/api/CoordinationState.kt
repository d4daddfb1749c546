/**
 * The replicated state. Replicas that have applied the same log entries have equal states.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Table

@Serializable
data class CoordinationState(
    val configuration: PublishedConfiguration? = null,
    /** The current session of each router. */
    val sessions: Table<RouterId, SessionId> = persistentHashMapOf(),
    val budgets: Table<OrganisationId, BudgetRow> = persistentHashMapOf(),
    /** Requests that crash upstreams, with the number of their crashes. */
    val requestQuarantines: Table<RequestDigest, Int> = persistentHashMapOf(),
    val streams: StreamTables = StreamTables(),
    /** Evacuated failure domains, with the log index of the order. */
    val evacuations: Table<FailureDomainId, Long> = persistentHashMapOf(),
    /** Log index of the last change of [evacuations], which may have ended one; 0 before the first change. */
    val evacuationIndex: Long = 0,
)
