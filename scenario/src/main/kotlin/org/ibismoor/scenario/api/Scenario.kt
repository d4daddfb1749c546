/**
 * A rehearsal: a small fleet, what happens to it at which time, and the outcome that is expected. The same scenario
 * and seed give the same trace. Times are in milliseconds from the start; amounts are in budget tokens. The clock of
 * a process named in `drifts` is fast by that many parts in a thousand; a control process has the name of its domain.
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
    val drifts: Map<String, Int> = emptyMap(),
    val defects: Set<Defect> = emptySet(),
)

/** One way delay between failure domains, and how many messages in a thousand are lost or doubled. */
data class NetworkSettings(
    val delayMillis: Long = 1,
    val jitterMillis: Long = 1,
    val lostPerMille: Int = 0,
    val doubledPerMille: Int = 0,
)

/** A step and the time at which it happens. */
data class TimedStep(val atMillis: Long, val step: ScenarioStep)
