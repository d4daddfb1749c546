/**
 * Settings of a run. Rates are requests per second over all targets of a path, times are milliseconds. Requests that
 * start in the first [warmUpMillis] are not measured.
 */
package org.ibismoor.bench.load.internal

internal data class LoadSettings(
    val plans: Map<LoadPath, PathPlan>,
    val model: String,
    val answerTokens: Long,
    val warmUpMillis: Long,
    val measuredMillis: Long,
    val processes: Map<String, Long>,
)

/** Requests of one path go to [targets] in turn, [rate] a second; without [key] they carry no API key. */
internal data class PathPlan(val targets: List<String>, val key: String?, val rate: Long)
