/**
 * State of a router's decisions.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.admission.api.AdmissionTables
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

data class ForwardingTables(
    val session: SessionId,
    val random: SeededRandom,
    val fleet: FleetRow,
    val configuration: ForwardingConfiguration? = null,
    val configurationStatus: ConfigurationStatus = ConfigurationStatus(),
    /** Start of the planned stop of the process; null if there is none. */
    val drainStartedAt: Timestamp? = null,
    val upstreams: PersistentMap<UpstreamId, UpstreamRow> = persistentHashMapOf(),
    /** The end of the first pause that an upstream asked for; null without a pause. */
    val nextResumptionAt: Timestamp? = null,
    val retries: PersistentMap<UpstreamGroupId, RetryRow> = persistentHashMapOf(),
    val requests: PersistentMap<RequestNumber, RequestRow> = persistentHashMapOf(),
    val allowances: PersistentMap<OrganisationId, AllowanceRow> = persistentHashMapOf(),
    val due: DueQueue<RequestNumber> = DueQueue.empty(),
    /** Requests that wait for an upstream or for tokens. */
    val waiting: PersistentMap<RequestNumber, Unit> = persistentHashMapOf(),
    /** Requests that wait for room at an upstream; they are not in [waiting]. */
    val admission: AdmissionTables<RequestNumber> = AdmissionTables(),
    /** When queued requests are looked at again; null if there are none. */
    val roomCheckDueAt: Timestamp? = null,
    val prompts: PromptTables = PromptTables(),
    val crashedRequests: CrashedRequestTables = CrashedRequestTables(),
    val streams: StreamOriginTables = StreamOriginTables(),
    val placement: PlacementTables = PlacementTables(),
) {
    val isDraining: Boolean get() = drainStartedAt != null

    val state: RouterState
        get() = when {
            isDraining -> RouterState.DRAINING
            // The leader's first answer has both a list of upstreams and the list of evacuated failure domains.
            configuration == null || fleet.upstreamRevision == 0L || fleet.evacuations == null -> RouterState.STARTING
            else -> RouterState.READY
        }
}
