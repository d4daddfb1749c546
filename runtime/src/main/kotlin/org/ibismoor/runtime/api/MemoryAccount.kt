/**
 * What one connection holds of the memory budget of its process.
 */
package org.ibismoor.runtime.api

import org.ibismoor.memory.api.BytesMoved
import org.ibismoor.memory.api.BytesReleased
import org.ibismoor.memory.api.BytesRequested
import org.ibismoor.memory.api.HolderEnded
import org.ibismoor.memory.api.HolderId
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.memory.api.RequestServed

class MemoryAccount internal constructor(private val id: HolderId, private val budget: MemoryBudget) {
    /** False if the connection was closed or has to be closed. */
    val isOpen: Boolean get() = budget.isOpen(id)

    /** Call before [bytes] are held. False if there is no room; the bytes must not be held then. */
    fun charge(memoryClass: MemoryClass, bytes: Long): Boolean {
        if (bytes <= 0) return isOpen
        val isGranted = isOpen && budget.decide(BytesRequested(id, memoryClass, bytes))
        if (!isGranted) budget.countRefusal(memoryClass)
        return isGranted
    }

    fun release(memoryClass: MemoryClass, bytes: Long) {
        if (bytes > 0) budget.decide(BytesReleased(id, memoryClass, bytes))
    }

    /** The connection has received or written [bytes]. */
    fun recordProgress(bytes: Long) {
        budget.decide(BytesMoved(id, bytes))
    }

    /** The request was read as a whole, and no progress of the caller is expected until its answer. */
    fun markServed() {
        budget.decide(RequestServed(id))
    }

    /** Releases all memory at the end of a request. */
    fun releaseAll() {
        budget.decide(HolderEnded(id))
    }

    /** Releases all memory of a connection that was closed. */
    fun close() {
        budget.close(id)
        releaseAll()
    }
}
