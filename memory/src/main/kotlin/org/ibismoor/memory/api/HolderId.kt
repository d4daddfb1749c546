/**
 * A connection of this process that holds memory.
 */
package org.ibismoor.memory.api

@JvmInline
value class HolderId(val value: Long) : Comparable<HolderId> {
    override fun compareTo(other: HolderId): Int = value.compareTo(other.value)
}
