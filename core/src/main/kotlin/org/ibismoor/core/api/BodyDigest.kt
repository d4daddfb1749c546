/**
 * Lower-case hexadecimal SHA-256 of a request body. It distinguishes a retry from a different request that
 * reuses the same idempotency key.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class BodyDigest(val text: String) : Comparable<BodyDigest> {
    override fun compareTo(other: BodyDigest): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
