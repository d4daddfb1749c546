/**
 * Identity of the content of a request: 128 bits, as lower-case hexadecimal digits. A request that is sent again with
 * the same path, caller and body has the same digest, whatever its call identifier.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class RequestDigest(val text: String) : Comparable<RequestDigest> {
    override fun compareTo(other: RequestDigest): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
