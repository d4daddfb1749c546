/**
 * Version of the software that an upstream runs, as the platform's list names it; not that of its model weights.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class SoftwareVersion(val text: String) : Comparable<SoftwareVersion> {
    override fun compareTo(other: SoftwareVersion): Int = text.compareTo(other.text)

    override fun toString(): String = text

    companion object {
        /** Of an entry that a control process of an earlier release has read. */
        val UNKNOWN = SoftwareVersion("")
    }
}
