/**
 * Name of a router process, unique in the fleet and stable across restarts.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class RouterId(val text: String) : Comparable<RouterId> {
    override fun compareTo(other: RouterId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
