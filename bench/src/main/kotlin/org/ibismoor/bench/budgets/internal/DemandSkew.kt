/**
 * How demand is divided between the failure domains, in parts of a hundred.
 */
package org.ibismoor.bench.budgets.internal

internal enum class DemandSkew(val label: String, val before: List<Int>, val during: List<Int> = before) {
    EVEN("even", listOf(34, 33, 33)),
    SKEWED("80/10/10", listOf(80, 10, 10)),

    /** The busiest domain changes to the one that is cut off at the moment at which the partition starts. */
    MOVING("moving", listOf(80, 10, 10), listOf(10, 10, 80)),
}
