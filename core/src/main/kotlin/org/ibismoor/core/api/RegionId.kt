/**
 * Name of a region, which contains failure domains.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class RegionId(val text: String) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
