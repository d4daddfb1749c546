/**
 * What callers, upstreams, the operator and the process runner of a soak see from outside the fleet. Checks decide on
 * these alone. Times are those of the soak's own clock.
 */
package org.ibismoor.soak.api

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.WorkKind

sealed interface Observation {
    val at: Timestamp
}

/** A caller has sent a request; each retry of a caller is a request of its own. */
data class RequestSent(
    override val at: Timestamp,
    val request: SoakRequestId,
    val router: ProcessName,
    val kind: WorkKind,
    /** Null for a request without a key. */
    val organisation: OrganisationId?,
    val route: String,
    /** Every configuration that may be in force allows the request. */
    val isProper: Boolean,
    val promptParts: List<String>,
    /** Prompt tokens and the most completion tokens. */
    val maximumTokens: Long,
    val promptTokens: Long = 0,
    /** Services to which a configuration that may be in force sends the request; empty if the caller cannot tell. */
    val services: Set<String> = emptySet(),
) : Observation

/** How a request ended for its caller. */
data class AnswerEnded(
    override val at: Timestamp,
    val request: SoakRequestId,
    /** Null if the connection ended before a status line. */
    val status: Int?,
    /** Names the attempt that made the answer; null if the router answered by itself. */
    val answer: AnswerId?,
    /** The answer ended as its framing says. */
    val isComplete: Boolean,
    /** Digest of the body as far as it arrived. */
    val bodyDigest: String,
    /** Identifiers of the events of a stream, in order of arrival. */
    val events: List<Long>,
    /** Completion tokens that arrived. */
    val deliveredTokens: Long,
) : Observation

/** The caller closed its connection before the answer ended. */
data class CallerLeft(
    override val at: Timestamp,
    val request: SoakRequestId,
    /** Completion tokens that had arrived. */
    val deliveredTokens: Long = 0,
) : Observation

/** An attempt reached an upstream. */
data class AttemptReceived(
    override val at: Timestamp,
    val attempt: SoakAttemptId,
    val request: SoakRequestId,
    val upstream: UpstreamId,
    /** Service of the upstream that received it. */
    val service: String,
    val promptParts: List<String>,
    /** The upstream was told to name the organisation; null if the router named none. */
    val organisation: OrganisationId?,
) : Observation

/** The upstream began to work on an attempt. From then on it has run. */
data class AttemptBegan(override val at: Timestamp, val attempt: SoakAttemptId) : Observation

/** The upstream stopped working on an attempt: it has finished, or lost it. */
data class AttemptFinished(
    override val at: Timestamp,
    val attempt: SoakAttemptId,
    /** Null if the upstream broke off or refused the attempt without running it. */
    val made: MadeAnswer?,
    /** Status with which the upstream refused to run the attempt; null if it did not refuse. */
    val refusedWith: Int? = null,
) : Observation

/** The whole answer as an upstream made it. */
data class MadeAnswer(val answer: AnswerId, val status: Int, val bodyDigest: String, val events: List<Long>)

/** The operator sent a configuration. */
data class ConfigurationSent(override val at: Timestamp, val version: Long, val digest: String) : Observation

data class ConfigurationConfirmed(override val at: Timestamp, val version: Long) : Observation

/** A process answered a read of the configuration. */
data class ConfigurationRead(
    override val at: Timestamp,
    val process: ProcessName,
    /** Process start that answered; a higher number is a later start. */
    val incarnation: Int,
    val sentAt: Timestamp,
    val version: Long,
    val digest: String,
) : Observation

/** A configuration sets the tokens that [organisation] may use in total. */
data class BudgetSet(
    override val at: Timestamp,
    val organisation: OrganisationId,
    val tokens: Long,
    /** False if the configuration was only sent: it may be in force, but need not be. */
    val isConfirmed: Boolean = true,
) : Observation

/** A confirmed configuration no longer has the key of [organisation]. */
data class KeyRevoked(override val at: Timestamp, val organisation: OrganisationId) : Observation

/** The upstream list shows [upstream] as leaving or gone. */
data class UpstreamLeaving(override val at: Timestamp, val upstream: UpstreamId) : Observation

/** An upstream crashed. */
data class UpstreamCrashed(
    override val at: Timestamp,
    val upstream: UpstreamId,
    /** The part of a prompt that makes upstreams crash; null if the crash had another cause. */
    val promptPart: String?,
) : Observation

data class ProcessStarted(override val at: Timestamp, val process: ProcessName) : Observation

/** A process ended; [isRequested] if the soak stopped or killed it. */
data class ProcessEnded(
    override val at: Timestamp,
    val process: ProcessName,
    val exitCode: Int,
    val isRequested: Boolean,
) : Observation

/** A fault that affects [processes] began. Guarantees with a time limit are suspended for them for a while. */
data class FaultBegan(override val at: Timestamp, val fault: Int, val processes: Set<ProcessName>) : Observation

data class FaultEnded(override val at: Timestamp, val fault: Int) : Observation
