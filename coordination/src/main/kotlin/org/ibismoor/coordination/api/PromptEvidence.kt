/**
 * What a router has seen of prompt parts that may crash engines. It is part of the router's report. Times are ages,
 * since the clocks of VMs cannot be compared.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
data class PromptEvidence(
    val crashes: List<EngineCrash> = emptyList(),
    /** Answers that began on suspects or quarantined parts, as the leader named them. */
    val begunParts: List<BegunPart> = emptyList(),
    /** Quarantines in force at the router, so that a new leader learns of them. */
    val quarantines: List<QuarantinedPart> = emptyList(),
)

/** Requests without a first event that a router lost together when the engine at address [engine] went away. */
@Serializable
data class EngineCrash(
    val engine: String,
    val group: UpstreamGroupId,
    val ageMillis: Long,
    /** Parts that the lost prompts share with others, each with the last parts of these prompts. */
    val parts: Map<String, List<String>>,
    /** Prompt requests of the same upstream group that have begun at the router since then. */
    val answersBegunSince: Int,
)

@Serializable
data class BegunPart(val part: String, val ageMillis: Long)

/** A prompt part whose requests are refused. */
@Serializable
data class QuarantinedPart(
    val part: String,
    /** Time until the first probe; 0 once a probe is due. */
    val remainingMillis: Long,
    /** Number of failed probes, which lengthen the quarantine. */
    val failedProbes: Int = 0,
    /** The router that receives this may send one request with the part. */
    val isProbeAllowed: Boolean = false,
)

/** The leader's decisions on prompt parts, part of its answer to a report. */
@Serializable
data class QuarantineUpdate(
    /** Parts that engines crashed on more than once; routers report answers that began on them. */
    val suspects: List<String> = emptyList(),
    val quarantines: List<QuarantinedPart> = emptyList(),
)
