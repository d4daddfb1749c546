/**
 * Named scenarios for the monthly rehearsal of an operator.
 */
package org.ibismoor.scenario.api

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GRANT = 1_000_000L
private val prepared = 2.seconds
private val firstCall = 12.seconds
private val failure = 20.seconds
private val repair = 40.seconds
private val lastCall = 60.seconds
private val interval = 250.milliseconds

val rehearsals: Map<String, Scenario> = listOf(
    rehearsal("router-death") {
        at(failure) { router("norte-1", 1, ProcessAction.KILL) }
        at(repair) { router("norte-1", 1, ProcessAction.START) }
    },
    rehearsal("router-drain") { at(failure) { router("norte-1", 1, ProcessAction.DRAIN) } },
    rehearsal("control-death") {
        at(failure) { control("norte-1", ProcessAction.KILL) }
        at(repair) { control("norte-1", ProcessAction.START) }
    },
    rehearsal("control-isolated") {
        at(failure) { isolateVm("norte-1") }
        at(repair) { heal() }
    },
    rehearsal("domain-isolated") {
        at(failure) { isolate("norte-1") }
        at((failure + repair) / 2) { topUp("norte-2", "live", "rehearsal", GRANT) }
        at(repair) { heal() }
    },
    rehearsal("disk-lost") {
        at(failure) { control("norte-3", ProcessAction.LOSE_DISK) }
        at((failure + repair) / 2) { publish("norte-1") }
    },
).associateBy { it.name }

private fun rehearsal(name: String, faults: ScenarioBuilder.() -> Unit): Scenario =
    scenario(name, seed = 1) {
        routersPerDomain = 2
        configuration = bilbao("live" to GRANT)
        duration = lastCall + repair
        at(prepared) { publish("norte-1") }
        repeat(firstCall, lastCall, interval) { call(domains[it % domains.size], chat("live", "c$it")) }
        repeat(firstCall, lastCall, interval * 2) { call(domains[it % domains.size], booking("live", "b$it")) }
        faults()
    }
