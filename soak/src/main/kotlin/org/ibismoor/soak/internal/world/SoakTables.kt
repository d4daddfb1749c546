/**
 * State of a soak: processes, callers, operator, upstreams and faults.
 */
package org.ibismoor.soak.internal.world

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.PromptShape
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.SoakAttemptId
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.UpstreamSlot
import org.ibismoor.soak.internal.schedule.DisturbLink
import org.ibismoor.soak.internal.schedule.FaultSchedule
import org.ibismoor.soak.internal.schedule.OddEntry
import org.ibismoor.soak.internal.schedule.UpstreamTrouble

internal data class SoakTables(
    val layout: FleetLayout,
    val schedule: FaultSchedule,
    val phase: SoakPhase = SoakPhase.STARTING,
    /** Time at which the fleet served its first requests; times of the schedule count from it. */
    val servingSince: Timestamp? = null,
    val processes: PersistentMap<ProcessName, ProcessRow> = persistentHashMapOf(),
    val directories: PersistentMap<String, DirectoryRow> = persistentHashMapOf(),
    val callers: PersistentMap<Int, CallerRow> = persistentHashMapOf(),
    val operator: OperatorRow = OperatorRow(),
    val upstreams: PersistentMap<String, UpstreamRow> = persistentHashMapOf(),
    val attempts: PersistentMap<SoakAttemptId, AttemptRow> = persistentHashMapOf(),
    val links: PersistentMap<Int, DisturbLink> = persistentHashMapOf(),
    val oddEntries: PersistentMap<Int, OddEntry> = persistentHashMapOf(),
    /** Upstreams that the list showed last, and of these the leaving ones. */
    val listed: PersistentMap<UpstreamId, Boolean> = persistentHashMapOf(),
    val due: DueQueue<DueWork> = DueQueue.empty(),
) {
    fun at(time: Timestamp, work: DueWork): SoakTables = copy(due = due.plus(time, work))
}

internal enum class SoakPhase {
    /** The first configuration is not confirmed, or no directory answers yet. */
    STARTING,
    SERVING,

    /** Callers send nothing new, and open requests end. */
    FINISHING,

    /** The processes are being stopped. */
    STOPPING,
    STOPPED,
}

internal data class ProcessRow(
    val vm: Int,
    val isControl: Boolean,
    val isRunning: Boolean = false,
    /** Number of starts. */
    val starts: Int = 0,
    /** Faults that keep the process down, or frozen. */
    val stoppedBy: PersistentSet<Int> = persistentHashSetOf(),
    val pausedBy: PersistentSet<Int> = persistentHashSetOf(),
    /** The next end was asked for by the soak. */
    val isEndRequested: Boolean = false,
    val isDiskLost: Boolean = false,
)

/** What callers of one failure domain know of the routers. */
internal data class DirectoryRow(val addresses: List<String> = emptyList(), val lookups: Int = 0)

internal data class CallerRow(
    val number: Int,
    val domain: String,
    val organisation: OrganisationId,
    val key: String,
    /** Requests sent so far. */
    val requests: Int = 0,
    /** Address of the open connection; null if the next request opens one. */
    val address: String? = null,
    val open: OpenCall? = null,
    /** Routers that failed this caller since the last directory answer. */
    val failedAddresses: PersistentSet<String> = persistentHashSetOf(),
)

internal data class OpenCall(val id: SoakRequestId, val route: SoakRoute, val prompt: PromptShape?, val tries: Int)

internal enum class SoakRoute(val pathPrefix: String, val kind: WorkKind) {
    LOOKUP("/lookup/", WorkKind.IDEMPOTENT),
    BOOKING("/booking/", WorkKind.NON_IDEMPOTENT),
    CHAT("/chat/", WorkKind.STREAM),
    SUMMARY("/summary/", WorkKind.RESUMABLE_STREAM),
}

internal data class OperatorRow(
    val version: Long = 1,
    /** Number of the publication, from 1 on; versions rise in uneven steps. */
    val publication: Int = 1,
    val isConfirmed: Boolean = false,
    /** Sends of this publication, each to the next control process. */
    val sends: Int = 0,
    /** A due send before this time is stale. */
    val nextSendAt: Timestamp = Timestamp(0),
    val reads: Int = 0,
)

internal data class UpstreamRow(
    val slot: UpstreamSlot,
    val id: UpstreamId,
    val incarnation: Int,
    val isRunning: Boolean = true,
    val isLeaving: Boolean = false,
    val active: PersistentSet<SoakAttemptId> = persistentHashSetOf(),
    val troubles: PersistentMap<Int, UpstreamTrouble> = persistentHashMapOf(),
) {
    fun hasTrouble(trouble: UpstreamTrouble): Boolean = troubles.values.any { it == trouble }
}

internal data class AttemptRow(
    val id: SoakAttemptId,
    val slot: String,
    val callId: String,
    val prompt: PromptShape?,
    /** Number of the next event of a stream. */
    val nextEvent: Long,
)

/** Work that is due at a time. */
internal sealed interface DueWork

internal data class FaultBegins(val number: Int) : DueWork

internal data class FaultEnds(val number: Int) : DueWork

internal data class CallerDue(val caller: Int) : DueWork

internal data class DirectoryDue(val domain: String) : DueWork

internal data class AttemptDue(val attempt: SoakAttemptId) : DueWork

internal data class UpstreamRestartDue(val slot: String) : DueWork

internal data class ProcessRestartDue(val process: ProcessName) : DueWork

internal data object PublicationDue : DueWork

internal data object ReadDue : DueWork

internal data object ListDue : DueWork

internal data class PhaseDue(val phase: SoakPhase) : DueWork
