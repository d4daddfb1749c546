/**
 * Formats the scores of a trace as a Markdown table.
 */
package org.ibismoor.bench.replay.internal

import java.util.Locale

private const val PERCENT = 100.0

internal fun scoreTable(trace: Trace, scores: Map<String, Score>): String {
    val heading = "${trace.header.name}, seed ${trace.header.seed}, ${scores.values.first().requests} requests"
    val columns = "| policy | first token ms p50/p95/p99 | between tokens ms | goodput % | failed | false refusals " +
        "| attempts per request | cache hits % | lowest organisation % |"
    val divider = "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    return (listOf(heading, "", columns, divider) + scores.map { (name, score) -> line(name, score) })
        .joinToString("\n")
}

private fun line(name: String, score: Score): String =
    listOf(
        name,
        score.firstToken,
        score.betweenTokens,
        percent(score.goodput),
        score.refused,
        score.falseRefusals,
        String.format(Locale.ROOT, "%.2f", score.amplification),
        percent(score.cacheHits),
        percent(score.fairness),
    ).joinToString(" | ", "| ", " |")

private fun percent(fraction: Double): String = String.format(Locale.ROOT, "%.1f", fraction * PERCENT)
