/**
 * Identity of a stream: 64 bits of the digest of its organisation and of the call that began it, as lower-case
 * hexadecimal digits.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class StreamDigest(val text: String) : Comparable<StreamDigest> {
    override fun compareTo(other: StreamDigest): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
