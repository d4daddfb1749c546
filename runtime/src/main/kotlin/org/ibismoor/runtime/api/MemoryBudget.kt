/**
 * The memory budget of a process. Any thread may charge to it. The decision is made at once, since a connection must
 * not read before it knows; a handover to the control thread for each read would delay small requests.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Tick
import org.ibismoor.memory.api.EvictHolder
import org.ibismoor.memory.api.GrantBytes
import org.ibismoor.memory.api.HolderId
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.memory.api.MemoryEffect
import org.ibismoor.memory.api.MemoryMessage
import org.ibismoor.memory.api.MemorySettings
import org.ibismoor.memory.api.MemoryTables
import org.ibismoor.memory.api.createMemoryMachine
import org.ibismoor.memory.api.memorySettingsFor
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

class MemoryBudget(settings: MemorySettings, private val clock: RuntimeClock = createClock()) {
    private val machine = createMemoryMachine()
    private val nextId = AtomicLong()
    private val evictions = ConcurrentHashMap<HolderId, () -> Unit>()
    private val refusals = MemoryClass.entries.associateWith { AtomicLong() }
    private val evictedCount = AtomicLong()

    @Volatile
    private var tables = MemoryTables(settings)

    /** Connections that lost their memory, and were closed, since the start. */
    val evictedConnections: Long get() = evictedCount.get()

    fun heldBytes(memoryClass: MemoryClass): Long = tables.bytes(memoryClass)

    /** Charges that were refused since the start. */
    fun refusedCharges(memoryClass: MemoryClass): Long = refusals.getValue(memoryClass).get()

    /** Opens the account of a connection. [onEvict] has to close the connection; any thread may call it. */
    fun open(onEvict: () -> Unit): MemoryAccount {
        val id = HolderId(nextId.getAndIncrement())
        evictions[id] = onEvict
        return MemoryAccount(id, this)
    }

    internal fun isOpen(id: HolderId): Boolean = evictions.containsKey(id)

    internal fun close(id: HolderId) {
        evictions.remove(id)
    }

    /** False if the charge in [message] was refused. Evicted connections are told on the thread of the caller. */
    internal fun decide(message: MemoryMessage): Boolean {
        val effects = runMachine(message)
        effects.filterIsInstance<EvictHolder>().mapNotNull { evictions.remove(it.holder) }.forEach { evict ->
            evictedCount.incrementAndGet()
            evict()
        }
        return effects.any { it is GrantBytes }
    }

    @Synchronized
    private fun runMachine(message: MemoryMessage): List<MemoryEffect> {
        val step = machine.run(tables, Tick(clock.now(), clock.wallTime(), listOf(message)))
        tables = step.tables
        return step.effects
    }

    internal fun countRefusal(memoryClass: MemoryClass) {
        refusals.getValue(memoryClass).incrementAndGet()
    }
}

/** A budget for the limits of this process; [directBytes] is the limit of memory outside of the heap. */
fun createMemoryBudget(directBytes: Long = Runtime.getRuntime().maxMemory()): MemoryBudget =
    MemoryBudget(memorySettingsFor(Runtime.getRuntime().maxMemory(), directBytes))
