/**
 * What connections report to the memory budget.
 */
package org.ibismoor.memory.api

sealed interface MemoryMessage {
    val holder: HolderId
}

/** The connection is about to hold [bytes] more of [memoryClass]. */
data class BytesRequested(override val holder: HolderId, val memoryClass: MemoryClass, val bytes: Long) : MemoryMessage

/** The connection holds [bytes] less of [memoryClass]. */
data class BytesReleased(override val holder: HolderId, val memoryClass: MemoryClass, val bytes: Long) : MemoryMessage

/** The connection has received or written [bytes]. */
data class BytesMoved(override val holder: HolderId, val bytes: Long) : MemoryMessage

/** The request was read, and the process works on it. */
data class RequestServed(override val holder: HolderId) : MemoryMessage

/** The request has ended, or the connection was closed. */
data class HolderEnded(override val holder: HolderId) : MemoryMessage
