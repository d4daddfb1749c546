/**
 * How demand is divided between the failure domains, in parts of a hundred.
 */
package org.ibismoor.bench.budgets.internal

private const val MOST = 80
private const val LEAST = 10
private const val THIRD = 33
private const val LARGER_THIRD = 34
private val firstBusy = listOf(MOST, LEAST, LEAST)

internal enum class DemandSkew(val label: String, val before: List<Int>, val during: List<Int> = before) {
    EVEN("even", listOf(LARGER_THIRD, THIRD, THIRD)),
    SKEWED("80/10/10", firstBusy),

    /** The busiest domain changes to the one that is cut off at the moment at which the partition starts. */
    MOVING("moving", firstBusy, firstBusy.reversed()),
}
