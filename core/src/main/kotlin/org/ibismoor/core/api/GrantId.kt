/**
 * Name of one grant (top-up) of a budget, unique within the budget.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class GrantId(val text: String) : Comparable<GrantId> {
    override fun compareTo(other: GrantId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
