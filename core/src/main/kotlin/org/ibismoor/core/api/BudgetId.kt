/**
 * Name of a prepaid budget, unique in the fleet.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class BudgetId(val text: String) : Comparable<BudgetId> {
    override fun compareTo(other: BudgetId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
