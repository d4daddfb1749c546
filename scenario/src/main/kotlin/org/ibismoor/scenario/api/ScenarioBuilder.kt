/**
 * Builder DSL for scenarios. Times are durations from the start of the scenario.
 */
package org.ibismoor.scenario.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.fleet.api.ControlSettings
import kotlin.time.Duration

fun scenario(name: String, seed: Long, describe: ScenarioBuilder.() -> Unit): Scenario =
    ScenarioBuilder(name, seed).apply(describe).build()

class ScenarioBuilder internal constructor(private val name: String, private val seed: Long) {
    private val steps = mutableListOf<TimedStep>()

    /** Failure domains, each with one control process. */
    var domains: List<String> = listOf("norte-1", "norte-2", "norte-3")

    /** Routers in each failure domain. */
    var routersPerDomain: Int = 1

    /** The configuration that is declared at the start. Its number is ignored; the first publication has number 1. */
    var configuration: ConfigurationTables = ConfigurationTables()

    var control: ControlSettings = ControlSettings()

    /** Delay, loss and duplication of messages at the start. */
    var network: NetworkSettings = NetworkSettings()

    /** Parts in a thousand by which the clock of a named process runs fast. */
    var clockDriftsPerMille: Map<String, Int> = emptyMap()

    /** Defects of the processes, to show that the checks report them. */
    var defects: Set<Defect> = emptySet()

    var duration: Duration = Duration.ZERO

    /** Adds steps at [time]. */
    fun at(time: Duration, describe: StepBuilder.() -> Unit) {
        val builder = StepBuilder(domains).apply(describe)
        steps += builder.steps.map { TimedStep(time.inWholeMilliseconds, it) }
    }

    /** Adds steps at each interval of [every] from [start] until before [end]. The block gets the turn, from 0. */
    fun repeat(start: Duration, end: Duration, every: Duration, describe: StepBuilder.(Int) -> Unit) {
        val turns = (end - start).inWholeMilliseconds / every.inWholeMilliseconds
        for (turn in 0 until turns.toInt()) at(start + every * turn) { describe(turn) }
    }

    internal fun build(): Scenario =
        Scenario(
            name = name,
            seed = seed,
            domains = domains.map(::FailureDomainId),
            routersPerDomain = routersPerDomain,
            configuration = configuration,
            control = control,
            network = network,
            steps = steps.sortedBy { it.atMillis },
            durationMillis = duration.inWholeMilliseconds,
            clockDriftsPerMille = clockDriftsPerMille,
            defects = defects,
        )
}
