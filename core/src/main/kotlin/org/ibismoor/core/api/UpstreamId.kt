/**
 * Name of one upstream process: a model engine or a worker of a plain service.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class UpstreamId(val text: String) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
