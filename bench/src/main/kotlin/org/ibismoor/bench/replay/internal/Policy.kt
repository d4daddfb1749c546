/**
 * The policies that a trace is replayed with. Each baseline differs from the production policy in one decision, the
 * last one in two.
 */
package org.ibismoor.bench.replay.internal

import org.ibismoor.admission.api.firstInFirstOut
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.routing.api.RoutingLimits
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.fixedConcurrency
import org.ibismoor.routing.api.leastInFlight
import org.ibismoor.routing.api.powerOfTwoChoices
import org.ibismoor.routing.api.randomChoice
import org.ibismoor.routing.api.roundRobin
import org.ibismoor.routing.api.unboundedRetries

internal const val OURS = "ours"
internal const val ROUND_ROBIN = "round-robin"
internal const val RANDOM = "random"
internal const val LEAST_IN_FLIGHT = "least-in-flight"
internal const val NO_ADMISSION = "no-admission"
internal const val UNBOUNDED_RETRIES = "unbounded-retries"
internal const val NO_LIMITS = "no-limits"

private const val UNLIMITED = 1_000_000

internal data class Policy(val name: String, val adjust: (RoutingSettings) -> RoutingSettings) {
    fun settings(own: FailureDomainId, domains: List<FailureDomainId>): RoutingSettings =
        adjust(RoutingSettings(own, domains))
}

internal fun policies(): List<Policy> =
    listOf(
        Policy(OURS) { it },
        Policy(ROUND_ROBIN) { it.copy(selection = roundRobin()) },
        Policy(RANDOM) { it.copy(selection = randomChoice()) },
        Policy(LEAST_IN_FLIGHT) { it.copy(selection = leastInFlight()) },
        Policy("power-of-two") { it.copy(selection = powerOfTwoChoices()) },
        Policy(NO_ADMISSION) { withoutAdmission(it) },
        Policy(UNBOUNDED_RETRIES) { it.copy(retry = unboundedRetries()) },
        Policy(NO_LIMITS) { withoutAdmission(it).copy(retry = unboundedRetries()) },
    )

private fun withoutAdmission(settings: RoutingSettings): RoutingSettings {
    val limits = RoutingLimits(queueLength = UNLIMITED, inFlightPerUpstream = UNLIMITED)
    return settings.copy(limits = limits, queue = firstInFirstOut(), concurrency = fixedConcurrency())
}
