/**
 * Decides which upstream of a group a request is dispatched to.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.internal.LeastInFlight
import org.ibismoor.routing.internal.PowerOfTwoChoices
import org.ibismoor.routing.internal.PrefixAffinity
import org.ibismoor.routing.internal.RandomChoice
import org.ibismoor.routing.internal.RoundRobin

/** [candidates] is not empty. [dispatchCount] is the number of dispatches to the group so far. */
data class SelectionInput(
    val candidates: List<UpstreamId>,
    val upstreams: Map<UpstreamId, UpstreamRow>,
    val prefixHashes: List<Long>,
    val ownDomain: FailureDomainId,
    val dispatchCount: Long,
    val random: SeededRandom,
    val now: Timestamp,
)

interface SelectionPolicy {
    /** Draws random numbers only from [SelectionInput.random], which the caller advances afterwards. */
    fun select(input: SelectionInput): UpstreamId
}

/** Selects the less loaded of two random upstreams. */
fun powerOfTwoChoices(): SelectionPolicy = PowerOfTwoChoices

/**
 * Selects the first upstream, in the order given by a hash of the prompt prefix, whose load is near the mean of the
 * candidates. Prompts without a prefix hash go to the least loaded upstream.
 */
fun prefixAffinity(): SelectionPolicy = PrefixAffinity

/** Baseline: the upstreams in rotation. */
fun roundRobin(): SelectionPolicy = RoundRobin

/** Baseline: a random upstream. */
fun randomChoice(): SelectionPolicy = RandomChoice

/** Baseline: the upstream with the fewest attempts in flight from this router; load reports are ignored. */
fun leastInFlight(): SelectionPolicy = LeastInFlight
