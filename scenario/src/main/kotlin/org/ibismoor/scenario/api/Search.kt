/**
 * Searches random schedules for broken guarantees. The result depends on the seeds only.
 */
package org.ibismoor.scenario.api

import java.util.stream.Collectors
import java.util.stream.LongStream

/** Runs the random scenarios of [count] seeds from [fromSeed], in parallel on the common pool. */
fun searchSchedules(fromSeed: Long, count: Int): SearchResult {
    val results = LongStream.range(fromSeed, fromSeed + count).parallel().boxed()
        .map { it to runSeed(it) }
        .collect(Collectors.toList())
    return SearchResult(
        seedCount = count,
        callCount = results.sumOf { it.second.calls.size },
        answeredCount = results.sumOf { it.second.answeredCalls.size },
        failures = results.filter { it.second.violations.isNotEmpty() }.associate { it.first to it.second.violations },
    )
}

private fun runSeed(seed: Long): ScenarioResult = runScenario(randomScenario(seed)).copy(trace = emptyList())
