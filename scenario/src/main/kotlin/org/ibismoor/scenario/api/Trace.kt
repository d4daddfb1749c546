/**
 * Traces as JSON lines: a header, then each fault, call, decision, outcome and violation. The header names either a
 * rehearsal, or "random" with a seed.
 */
package org.ibismoor.scenario.api

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

const val TRACE_VERSION: Int = 1

/** Encodes the trace of [result], a run of [scenario], one line for each entry. */
fun encodeTrace(scenario: Scenario, result: ScenarioResult): List<String> {
    val settings = mapOf(
        "routersPerDomain" to scenario.routersPerDomain.toString(),
        "durationMillis" to scenario.durationMillis.toString(),
        "drifts" to scenario.clockDriftsPerMille.toString(),
    )
    val header = TraceHeader(TRACE_VERSION, scenario.name, scenario.seed, settings)
    return listOf(Json.encodeToString(TraceHeader.serializer(), header)) +
        result.trace.map { Json.encodeToString(TraceLine.serializer(), it) }
}

/** Reruns the scenario that the trace [lines] names and compares the lines. */
fun replayTrace(lines: List<String>): ReplayResult {
    val header = lines.firstOrNull()?.let(::readHeader)
    val scenario = header?.let(::scenarioOf)
    return when {
        header == null ->
            ReplayResult.Unreadable("line 1 is not a trace header of version $TRACE_VERSION; record the trace again")
        scenario == null -> ReplayResult.Unreadable("the header names the unknown scenario ${header.scenario}")
        else -> compare(lines, scenario)
    }
}

private fun compare(lines: List<String>, scenario: Scenario): ReplayResult {
    val replayed = encodeTrace(scenario, runScenario(scenario))
    val lineCount = maxOf(lines.size, replayed.size)
    val position = (0 until lineCount).firstOrNull { lines.getOrNull(it) != replayed.getOrNull(it) }
    return when (position) {
        null -> ReplayResult.Same(lines.size)
        else -> ReplayResult.Different(position + 1, lines.getOrNull(position), replayed.getOrNull(position))
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
