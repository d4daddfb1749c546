/**
 * The body of a request while it is read. Its memory is charged before it is held: at once if the head states a length,
 * otherwise as the body grows.
 */
package org.ibismoor.runtime.api

import org.ibismoor.memory.api.MemoryClass

private const val FIRST_CAPACITY_BYTES = 16 * 1024

/** [length] is the length in the head, or null. While the body is handled, the process holds [copies] of it. */
class ChargedBody(
    private val account: MemoryAccount,
    private val length: Int?,
    private val maximumBytes: Int,
    private val copies: Int = 1,
) {
    private var bytes = ByteArray(0)
    private var size = 0
    private var chargedBytes = 0L

    /** Why the body cannot be read; null if it can. */
    var refusal: Refusal? = null
        private set

    enum class Refusal { TOO_LARGE, NO_MEMORY }

    init {
        if (length != null && length > maximumBytes) refuse(Refusal.TOO_LARGE)
        if (length != null && refusal == null) charge(length)
    }

    /** Adds [count] bytes, which [copy] writes into an array from an index on. */
    fun add(count: Int, copy: (target: ByteArray, index: Int) -> Unit) {
        when {
            refusal != null || count == 0 -> Unit
            count > maximumBytes - size -> refuse(Refusal.TOO_LARGE)
            hasRoom(count) -> {
                copy(bytes, size)
                size += count
                account.recordProgress(count.toLong())
            }
        }
    }

    /** The decoder passes on no more than the length in the head, so only a body without one grows. */
    private fun hasRoom(count: Int): Boolean {
        val needed = size + count
        if (bytes.isEmpty() && length != null) bytes = ByteArray(length)
        val doubled = (bytes.size * 2).coerceIn(FIRST_CAPACITY_BYTES.coerceAtMost(maximumBytes), maximumBytes)
        return needed <= bytes.size || resize(maxOf(needed, doubled))
    }

    private fun resize(capacity: Int): Boolean {
        if (!charge(capacity)) return false
        val old = bytes
        bytes = old.copyOf(capacity)
        releaseBytes(old.size.toLong())
        return true
    }

    /** The whole body; null if there is no room for its copies. */
    fun take(): ByteArray? {
        val isCharged = (size == bytes.size || resize(size)) && charge(size * (copies - 1))
        return bytes.takeIf { isCharged }.also { bytes = ByteArray(0) }
    }

    /** Releases all that is held, at the end of the request. */
    fun release() {
        bytes = ByteArray(0)
        releaseBytes(chargedBytes)
    }

    private fun charge(count: Int): Boolean {
        val isCharged = account.charge(MemoryClass.BODIES, count.toLong())
        if (isCharged) chargedBytes += count else refuse(Refusal.NO_MEMORY)
        return isCharged
    }

    private fun releaseBytes(count: Long) {
        account.release(MemoryClass.BODIES, count)
        chargedBytes -= count
    }

    private fun refuse(cause: Refusal) {
        refusal = cause
        release()
    }
}
