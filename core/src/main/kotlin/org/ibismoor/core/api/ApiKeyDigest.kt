/**
 * Lower-case hexadecimal SHA-256 of an API key. The key itself is never stored.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class ApiKeyDigest(val text: String) : Comparable<ApiKeyDigest> {
    override fun compareTo(other: ApiKeyDigest): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
