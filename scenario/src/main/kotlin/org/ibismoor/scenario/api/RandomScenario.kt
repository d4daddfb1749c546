/**
 * Scenarios with random faults and calls. The same seed gives the same scenario. All faults end after 45 s of the
 * 75 s, so that the guarantees that need a connected fleet can be checked at the end.
 */
package org.ibismoor.scenario.api

import org.ibismoor.scenario.internal.RandomSchedule

fun randomScenario(seed: Long): Scenario = scenario("random", seed) { RandomSchedule(seed).configure(this) }

/** Lines that list the steps of [scenario], without its calls, and the clock drifts. */
fun describeSchedule(scenario: Scenario): List<String> =
    scenario.steps.filter { it.step !is CallStep }.map { "${it.atMillis} ms ${it.step}" } +
        "clocks fast by parts in a thousand: ${scenario.clockDriftsPerMille}"
