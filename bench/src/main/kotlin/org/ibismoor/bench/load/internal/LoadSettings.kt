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

/** Where the requests of one path go, one after the other, and how many a second. */
internal data class PathPlan(val targets: List<String>, val key: String?, val rate: Long)
