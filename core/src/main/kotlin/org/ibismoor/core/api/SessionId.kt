/**
 * Random identifier of one run of a router process. A restarted router gets a new session.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
@JvmInline
value class SessionId(val text: String) : Comparable<SessionId> {
    override fun compareTo(other: SessionId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}
