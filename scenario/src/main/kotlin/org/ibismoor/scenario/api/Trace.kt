/**
 * Traces as JSON lines: a header and then each fault, call, decision, outcome and violation. The scenario of a header
 * is either a rehearsal with its name or "random" with its seed.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

const val TRACE_VERSION: Int = 1

/** The lines of the trace of [result], a run of [scenario]. */
fun writeTrace(scenario: Scenario, result: ScenarioResult): List<String> {
    val settings = mapOf(
        "routersPerDomain" to scenario.routersPerDomain.toString(),
        "durationMillis" to scenario.durationMillis.toString(),
        "drifts" to scenario.drifts.toString(),
    )
    val header = TraceHeader(TRACE_VERSION, scenario.name, scenario.seed, settings)
    return listOf(Json.encodeToString(TraceHeader.serializer(), header)) +
        result.trace.map { Json.encodeToString(TraceLine.serializer(), it) }
}

/** Runs the scenario of the trace [lines] again. */
fun replayTrace(lines: List<String>): ReplayResult {
    val header = lines.firstOrNull()?.let(::readHeader)
    val scenario = header?.let(::scenarioOf)
    return when {
        header == null -> ReplayResult.Unreadable("the first line is no header")
        scenario == null -> ReplayResult.Unreadable("there is no scenario ${header.scenario}")
        else -> compare(lines, scenario)
    }
}

private fun compare(lines: List<String>, scenario: Scenario): ReplayResult {
    val again = writeTrace(scenario, runScenario(scenario))
    val position = (0 until maxOf(lines.size, again.size)).firstOrNull { lines.getOrNull(it) != again.getOrNull(it) }
    return when (position) {
        null -> ReplayResult.Same(lines.size)
        else -> ReplayResult.Different(position + 1, lines.getOrNull(position), again.getOrNull(position))
    }
}

private fun scenarioOf(header: TraceHeader): Scenario? =
    if (header.scenario == "random") randomScenario(header.seed) else rehearsals[header.scenario]

private fun readHeader(line: String): TraceHeader? =
    try {
        Json.decodeFromString(TraceHeader.serializer(), line).takeIf { it.version == TRACE_VERSION }
    } catch (_: SerializationException) {
        null
    }
