/**
 * Decisions of the memory budget.
 */
package org.ibismoor.memory.api

sealed interface MemoryEffect {
    val holder: HolderId
}

data class GrantBytes(override val holder: HolderId, val memoryClass: MemoryClass, val bytes: Long) : MemoryEffect

data class RefuseBytes(override val holder: HolderId, val memoryClass: MemoryClass, val bytes: Long) : MemoryEffect

/** The connection must be closed, since it held memory without progress that another one needs. */
data class EvictHolder(override val holder: HolderId) : MemoryEffect
