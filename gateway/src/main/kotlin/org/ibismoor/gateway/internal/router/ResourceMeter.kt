/**
 * Measures the use that the router process makes of its VM. Confined to the traffic thread.
 */
package org.ibismoor.gateway.internal.router

import org.ibismoor.forwarding.api.ResourceUse

internal class ResourceMeter(private val traffic: RouterTraffic) {
    private var processorNanos = processorNanos()
    private var measuredAt = System.nanoTime()

    /** The use since the last call. */
    fun measure(): ResourceUse {
        val now = System.nanoTime()
        val used = processorNanos()
        val cores = (used - processorNanos).toDouble() / (now - measuredAt).coerceAtLeast(1)
        processorNanos = used
        measuredAt = now
        return ResourceUse(cores, traffic.pendingBytes, traffic.descriptors)
    }

    private fun processorNanos(): Long =
        ProcessHandle.current().info().totalCpuDuration().map { it.toNanos() }.orElse(0)
}
