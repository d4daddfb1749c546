/**
 * Text of a verdict.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Violation

/** A broken guarantee is often broken many times for the same reason. */
private const val MAXIMUM_LINES_PER_GUARANTEE = 20

private val nameWidth = Guarantee.entries.maxOf { it.name.length }

internal fun reportText(tables: CheckTables, violations: List<Violation>): String {
    val byGuarantee = violations.groupBy { it.guarantee }
    val lines = listOf(verdictLine(violations)) +
        Guarantee.entries.map { countLine(it, tables, byGuarantee[it].orEmpty()) } +
        Guarantee.entries.flatMap { violationLines(byGuarantee[it].orEmpty()) }
    return lines.joinToString("\n")
}

private fun verdictLine(violations: List<Violation>): String =
    if (violations.isEmpty()) "verdict: clean" else "verdict: ${violations.size} violations"

private fun countLine(guarantee: Guarantee, tables: CheckTables, violations: List<Violation>): String {
    val exercised = tables.exercised[guarantee]?.let { "put to the test $it times" } ?: "not put to the test"
    return "  ${guarantee.name.padEnd(nameWidth)}  $exercised, violations ${violations.size}"
}

private fun violationLines(violations: List<Violation>): List<String> {
    val shown = violations.sortedBy { it.at }.take(MAXIMUM_LINES_PER_GUARANTEE).map(::violationLine)
    val hidden = violations.size - shown.size
    return if (hidden > 0) shown + "  ... and $hidden more" else shown
}

private fun violationLine(violation: Violation): String {
    val request = violation.request?.let { " request=${it.text}" }.orEmpty()
    return "${violation.guarantee} at ${violation.at.millis} ms$request: ${violation.details}"
}
