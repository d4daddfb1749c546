/**
 * Metrics of a memory budget.
 */
package org.ibismoor.runtime.api

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.ibismoor.memory.api.MemoryClass

/** Bytes held and charges refused by class, and connections that were closed because they held memory. */
fun MeterRegistry.registerMemory(memory: MemoryBudget) {
    MemoryClass.entries.forEach { memoryClass ->
        Gauge.builder("ibismoor_memory_held_bytes") { memory.heldBytes(memoryClass).toDouble() }
            .tag("class", memoryClass.text).register(this)
        FunctionCounter.builder("ibismoor_memory_refusals", memory) { it.refusedCharges(memoryClass).toDouble() }
            .tag("class", memoryClass.text).register(this)
    }
    FunctionCounter.builder("ibismoor_connections_closed", memory) { it.evictedConnections.toDouble() }
        .tag("cause", "memory_without_progress").register(this)
}
