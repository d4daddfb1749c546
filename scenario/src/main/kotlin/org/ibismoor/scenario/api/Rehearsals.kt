/**
 * Named scenarios with which operators rehearse failures each month.
 */
package org.ibismoor.scenario.api

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val GRANT_TOKENS = 1_000_000L
private val publishTime = 2.seconds
private val firstCallTime = 12.seconds
private val failureTime = 20.seconds
private val repairTime = 40.seconds
private val callEndTime = 60.seconds
private val callInterval = 250.milliseconds

val rehearsals: Map<String, Scenario> = listOf(
    rehearsal("router-death") {
        at(failureTime) { applyToRouter("norte-1", 1, ProcessAction.KILL) }
        at(repairTime) { applyToRouter("norte-1", 1, ProcessAction.START) }
    },
    rehearsal("router-drain") { at(failureTime) { applyToRouter("norte-1", 1, ProcessAction.DRAIN) } },
    rehearsal("control-death") {
        at(failureTime) { applyToControl("norte-1", ProcessAction.KILL) }
        at(repairTime) { applyToControl("norte-1", ProcessAction.START) }
    },
    rehearsal("control-isolated") {
        at(failureTime) { isolateVm("norte-1") }
        at(repairTime) { heal() }
    },
    rehearsal("domain-isolated") {
        at(failureTime) { isolate("norte-1") }
        at((failureTime + repairTime) / 2) { topUp("norte-2", "live", "rehearsal", GRANT_TOKENS) }
        at(repairTime) { heal() }
    },
    rehearsal("disk-lost") {
        at(failureTime) { applyToControl("norte-3", ProcessAction.LOSE_DISK) }
        at((failureTime + repairTime) / 2) { publish("norte-1") }
    },
).associateBy { it.name }

private fun rehearsal(name: String, faults: ScenarioBuilder.() -> Unit): Scenario =
    scenario(name, seed = 1) {
        routersPerDomain = 2
        configuration = exampleConfiguration("live" to GRANT_TOKENS)
        duration = callEndTime + repairTime
        at(publishTime) { publish("norte-1") }
        repeat(firstCallTime, callEndTime, callInterval) { call(domains[it % domains.size], chat("live", "c$it")) }
        repeat(firstCallTime, callEndTime, callInterval * 2) {
            call(domains[it % domains.size], booking("live", "b$it"))
        }
        faults()
    }
