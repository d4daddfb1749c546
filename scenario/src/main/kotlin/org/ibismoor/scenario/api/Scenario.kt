/**
 * A scenario: a small fleet and the timed steps that happen to it. The same scenario and seed give the same trace.
 * Times are in milliseconds from the start; amounts are in budget tokens. The clock of a process named in
 * `clockDriftsPerMille` runs fast by that many parts in a thousand; a control process has the name of its domain.
 */
package org.ibismoor.scenario.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.fleet.api.ControlSettings

data class Scenario(
    val name: String,
    val seed: Long,
    val domains: List<FailureDomainId>,
    val routersPerDomain: Int,
    val configuration: ConfigurationTables,
    val control: ControlSettings,
    val network: NetworkSettings,
    val steps: List<TimedStep>,
    val durationMillis: Long,
    val clockDriftsPerMille: Map<String, Int> = emptyMap(),
    val defects: Set<Defect> = emptySet(),
)

/** One-way delay of messages, and how many in a thousand are dropped or duplicated between failure domains. */
data class NetworkSettings(
    val delayMillis: Long = 1,
    val jitterMillis: Long = 1,
    val lostPerMille: Int = 0,
    val doubledPerMille: Int = 0,
)

/** A step and the time at which it happens. */
data class TimedStep(val atMillis: Long, val step: ScenarioStep)
