/**
 * How demand is divided between the failure domains, in percent, before and during the partition.
 */
package org.ibismoor.bench.budgets.internal

private const val BUSY_PERCENT = 80
private const val QUIET_PERCENT = 10
private const val THIRD = 33
private const val LARGER_THIRD = 34
private val firstDomainBusy = listOf(BUSY_PERCENT, QUIET_PERCENT, QUIET_PERCENT)

internal enum class DemandSkew(
    val label: String,
    val percentBefore: List<Int>,
    val percentDuring: List<Int> = percentBefore,
) {
    EVEN("even", listOf(LARGER_THIRD, THIRD, THIRD)),
    SKEWED("80/10/10", firstDomainBusy),

    /** The busiest domain changes to the one that is cut off at the moment at which the partition starts. */
    MOVING("moving", firstDomainBusy, firstDomainBusy.reversed()),
}
