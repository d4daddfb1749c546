/**
 * Strict order between requests: no request is taken while one of a lower rank waits. Surplus requests come last.
 */
package org.ibismoor.admission.api

data class QueueRank(val isSurplus: Boolean, val priority: Int) : Comparable<QueueRank> {
    override fun compareTo(other: QueueRank): Int = compareValuesBy(this, other, { it.isSurplus }, { it.priority })
}
