/**
 * Name of a route from callers to an upstream group.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class RouteId(val text: String) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
