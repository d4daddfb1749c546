/**
 * Name of a set of interchangeable upstreams.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class UpstreamGroupId(val text: String) : Comparable<UpstreamGroupId> {
    override fun compareTo(other: UpstreamGroupId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
