/**
 * The memory budget of a gateway process, and what follows when the memory has run out all the same.
 */
package org.ibismoor.gateway.internal.net

import io.netty.buffer.ByteBuf
import io.netty.util.internal.OutOfDirectMemoryError
import io.netty.util.internal.PlatformDependent
import org.ibismoor.runtime.api.ChargedBody
import org.ibismoor.runtime.api.MemoryBudget
import org.ibismoor.runtime.api.ProcessEnd
import org.ibismoor.runtime.api.createMemoryBudget

internal fun createProcessMemory(): MemoryBudget = createMemoryBudget(PlatformDependent.maxDirectMemory())

/**
 * After an `OutOfMemoryError` of the heap any thread may have lost a part of its work, so the process drains and ends.
 * Memory outside of the heap is counted by Netty, which refuses a single buffer and changes nothing else.
 */
internal fun restartIfHeapIsExhausted(cause: Throwable) {
    if (cause is OutOfMemoryError && cause !is OutOfDirectMemoryError) ProcessEnd.drainAfter(cause)
}

internal fun ChargedBody.addBuffer(part: ByteBuf) {
    val count = part.readableBytes()
    add(count) { target, index -> part.getBytes(part.readerIndex(), target, index, count) }
}
