/**
 * Formats the report as a table, one line for each run.
 */
package org.ibismoor.bench.budgets.internal

private const val ROW = "%-8s %-9s %-7s %5s %10s %7s %8s %8s %7s %9s"
private const val SECOND_MILLIS = 1_000L
private const val PER_MILLE = 1_000.0
private const val PERCENT = 100.0

internal val REPORT_HEADER: String = ROW.format(
    "user", "demand", "sizing", "held", "partition", "calls", "refused", "falsely", "false%", "stranded",
) + " overspend"

internal fun reportLine(plan: ReplayPlan, counts: ReplayCounts): String = ROW.format(
    plan.deployment.label,
    plan.skew.label,
    plan.sizing.label,
    "%.2f".format(plan.heldBackPerMille / PER_MILLE),
    "${plan.partitionMillis / SECOND_MILLIS} s",
    counts.calls,
    counts.refused,
    counts.refusedFalsely,
    "%.2f".format(counts.refusedFalsely * PERCENT / counts.calls),
    counts.strandedTokens,
) + " ${counts.overspentTokens}"
