/**
 * Formats the result of a run as lines of text. Times are in milliseconds, memory is in megabytes, processor time is a
 * fraction of one core.
 */
package org.ibismoor.bench.load.internal

import org.HdrHistogram.Histogram
import java.util.Locale

private const val MEDIAN = 50.0
private const val NINETY_NINTH = 99.0
private const val MICROS_PER_MILLI = 1_000.0
private const val MILLIS_PER_SECOND = 1_000.0

internal class LoadResult(
    private val settings: LoadSettings,
    private val tables: LoadTables,
    private val times: Map<LoadPath, PathTimes>,
    private val readings: Map<LoadPhase, Map<String, ProcessReading>>,
) {
    val isAnswered: Boolean get() = tables.results.keys.any { it.code == RequestEnded.COMPLETE }

    fun lines(): List<String> =
        LoadPath.entries.flatMap(::pathLines) + differenceLine("first token", PathTimes::firstToken) +
            differenceLine("gap", PathTimes::gap) + settings.processes.keys.mapNotNull(::processLine)

    private fun pathLines(path: LoadPath): List<String> {
        val results = tables.results.filterKeys { it.path == path }
        val seconds = settings.measuredMillis / MILLIS_PER_SECOND
        val requests = results.values.sumOf { it.requests } / seconds
        val tokens = results.values.sumOf { it.tokens } / seconds
        val ends = results.entries.sortedBy { it.key.code }.joinToString(" ") { "${it.key.code}=${it.value.requests}" }
        val name = path.text
        val open = tables.inFlight.values.count { it.path == path }
        return listOf(
            "$name requests_per_second=${format(requests)} tokens_per_second=${format(tokens)} open=$open $ends",
            "$name first_token_ms ${formatPercentiles(times.getValue(path).firstToken)}",
            "$name gap_ms ${formatPercentiles(times.getValue(path).gap)}",
        )
    }

    private fun differenceLine(name: String, histogram: (PathTimes) -> Histogram): String {
        val (routed, direct) = LoadPath.entries.map { histogram(times.getValue(it)) }
        val values = listOf(MEDIAN, NINETY_NINTH).joinToString(" ") {
            val micros = routed.getValueAtPercentile(it) - direct.getValueAtPercentile(it)
            "p${it.toInt()}=${format(micros / MICROS_PER_MILLI)}"
        }
        return "added ${name.replace(' ', '_')}_ms $values"
    }

    private fun formatPercentiles(histogram: Histogram): String =
        listOf(MEDIAN, NINETY_NINTH).joinToString(" ") {
            "p${it.toInt()}=${format(histogram.getValueAtPercentile(it) / MICROS_PER_MILLI)}"
        } + " count=${histogram.totalCount}"

    private fun processLine(name: String): String? {
        val from = readings[LoadPhase.MEASURED]?.get(name)
        val to = readings[LoadPhase.ENDING]?.get(name)
        return if (from != null && to != null) "process $name ${processUse(from, to)}" else null
    }

    private fun processUse(from: ProcessReading, to: ProcessReading): String {
        val cores = (to.processorSeconds - from.processorSeconds) / (to.atSeconds - from.atSeconds)
        return "cores=${format(cores)} resident_mb=${format(to.residentMegabytes)}"
    }

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
