/**
 * What a router has seen of requests that may crash upstreams, part of its report, and the leader's decisions on them,
 * part of the answer. Times are ages, since the clocks of VMs cannot be compared.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.RequestDigest

@Serializable
data class RequestEvidence(
    val crashes: List<RequestCrash> = emptyList(),
    /** Last answers to requests that crashed upstreams here or that the leader suspects. */
    val answered: List<AnsweredRequest> = emptyList(),
    /** Quarantines in force at the router, so that a new leader learns of them. */
    val quarantines: List<QuarantinedRequest> = emptyList(),
)

/** The upstream at address [upstream] closed the connection before it answered the request. */
@Serializable
data class RequestCrash(
    val digest: RequestDigest,
    val upstream: String,
    val ageMillis: Long,
    /** An earlier attempt of the same request may have run, so this crash does not belong to a common failure. */
    val isRepeat: Boolean = false,
)

@Serializable
data class AnsweredRequest(val digest: RequestDigest, val ageMillis: Long)

/** A request that is refused after [crashes] crashes. */
@Serializable
data class QuarantinedRequest(
    val digest: RequestDigest,
    val crashes: Int,
    val remainingMillis: Long,
    /** The router that receives this may send the request once. */
    val isProbeAllowed: Boolean = false,
)

/** The leader's decisions on requests, part of its answer to a report. */
@Serializable
data class RequestQuarantineUpdate(
    /** Requests that crashed an upstream; routers do not repeat them after another crash and report their answers. */
    val suspects: List<RequestDigest> = emptyList(),
    val quarantines: List<QuarantinedRequest> = emptyList(),
)

/** A quarantine in the replicated state; with 0 [crashes] it has ended. */
@Serializable
data class LoggedRequestQuarantine(val digest: RequestDigest, val crashes: Int)
