/**
 * Decides which upstream of a group gets a request.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.internal.PowerOfTwoChoices

/** [candidates] is not empty; [turn] counts the dispatches of the group. */
data class SelectionInput(
    val candidates: List<UpstreamId>,
    val upstreams: Map<UpstreamId, UpstreamRow>,
    val prefixHashes: List<Long>,
    val ownDomain: FailureDomainId,
    val turn: Long,
    val random: SeededRandom,
    val now: Timestamp,
)

interface SelectionPolicy {
    /** The upstream to use. It draws at most from [SelectionInput.random], which the caller advances. */
    fun select(input: SelectionInput): UpstreamId
}

/** The less loaded of two random upstreams. */
fun powerOfTwoChoices(): SelectionPolicy = PowerOfTwoChoices
