/**
 * A request that the router has accepted and not completed.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RegionId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

data class RequestRow(
    val number: RequestNumber,
    val head: RequestHead,
    val route: RouteRow,
    val group: UpstreamGroupId,
    val organisation: OrganisationId?,
    /** Allowed regions of the organisation, as of the configuration that admitted the request. */
    val organisationRegions: PersistentSet<RegionId> = persistentHashSetOf(),
    val priority: Int,
    val arrivedAt: Timestamp,
    /** Deadline after which the request is refused. */
    val dueAt: Timestamp,
    val phase: RequestPhase,
    /** An earlier attempt that goes on although it is silent; null if there is none. */
    val silent: SilentAttempt? = null,
    /** Tokens of the allowance that are reserved for the request. */
    val reserved: Long = 0,
    /** Upstreams that have received the request, in order. */
    val triedUpstreams: PersistentList<UpstreamId> = persistentListOf(),
    /** Attempts so far, including those that could not be sent. */
    val attempts: Int = 0,
    /** Attempts of which no byte was sent. */
    val unsentAttempts: Int = 0,
    /** Events that the caller has received. */
    val deliveredEvents: Int = 0,
    /** An upstream has run the request or may have. */
    val mayHaveRun: Boolean = false,
    /** The caller has received part of the answer. */
    val isAnswerStarted: Boolean = false,
    /** The software version that began the stream, and the only one that may go on; null before the first event. */
    val streamVersion: SoftwareVersion? = null,
    /** When the first event of a stream arrived from an upstream. */
    val firstEventAt: Timestamp? = null,
)

sealed interface RequestPhase

/** Waits for tokens that were requested from the leader; the request is refused at [until]. */
data class AwaitingAllowance(val since: Timestamp, val until: Timestamp) : RequestPhase

/**
 * Waits since [since] to learn which software version began the stream that the caller continues; the request is
 * refused at [until]. The leader has said that it does not know if [isUnknownToLeader].
 */
data class AwaitingOrigin(val since: Timestamp, val until: Timestamp, val isUnknownToLeader: Boolean = false) :
    RequestPhase

/** Waits to be sent to an upstream. */
data object AwaitingUpstream : RequestPhase

/** Waits since [since] for room at an upstream; the request is refused at [until], when too little time is left. */
data class AwaitingRoom(val since: Timestamp, val until: Timestamp) : RequestPhase

/** Waits for the answer of [upstream] to attempt number [attempt]. */
data class AwaitingAnswer(
    val upstream: UpstreamId,
    val attempt: Int,
    val sentAt: Timestamp,
    /** Uncached prompt tokens that the upstream has to process before the first event. */
    val pendingPromptTokens: Long,
    /** Software version of [upstream] when the attempt was sent. */
    val version: SoftwareVersion,
    /** The upstream has been silent for too long during this attempt. */
    val wasSilent: Boolean = false,
    /** Size of the request that was sent. */
    val bodyBytes: Long = 0,
) : RequestPhase

/** An attempt that goes on although its upstream is silent; [silence] is the number of that silence. */
data class SilentAttempt(val phase: AwaitingAnswer, val silence: Int)
