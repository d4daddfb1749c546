/**
 * Limits of a router's VM, from its settings, and the use that the router makes of them. Room, the free capacity, is
 * the part of the capacity that the scarcest resource leaves.
 */
package org.ibismoor.forwarding.api

/** Requests per second that a core carries with a reserve for streams, which use the processor after their start. */
private const val REQUESTS_PER_CORE = 300.0

/** Bytes that a request and its answer put on the link. */
private const val LINK_BYTES_PER_REQUEST = 10_000.0

/** Memory in bytes that a router uses without requests, and for one request with its buffers. */
private const val IDLE_MEMORY_BYTES = 120_000_000.0
private const val REQUEST_MEMORY_BYTES = 250_000.0

/** Limits of the VM; a limit that is not stated is null and does not bind. */
data class RouterResources(
    val cores: Double = 1.0,
    val memoryBytes: Long? = null,
    val descriptors: Int? = null,
    val linkBytesPerSecond: Double? = null,
) {
    /** Requests per second that the processor and the link can carry, whichever is less. */
    val capacity: Double
        get() = minOf(
            cores * REQUESTS_PER_CORE,
            linkBytesPerSecond?.div(LINK_BYTES_PER_REQUEST) ?: Double.MAX_VALUE,
        ).coerceAtLeast(1.0)

    /** The part in use of the scarcest resource; 1 if one is used up. */
    fun usedPart(use: ResourceUse, requests: Int): Double {
        val requestLimit = memoryBytes?.let { (it - IDLE_MEMORY_BYTES).coerceAtLeast(1.0) / REQUEST_MEMORY_BYTES }
        val parts = listOfNotNull(
            use.processorCores / cores,
            linkBytesPerSecond?.let { use.pendingBytes / it },
            descriptors?.let { use.descriptors.toDouble() / it },
            requestLimit?.let { requests / it },
        )
        return parts.maxOrNull()?.coerceIn(0.0, 1.0) ?: 0.0
    }
}

/** What the process used at its last measurement. */
data class ResourceUse(
    /** Processor time per time since the measurement before. */
    val processorCores: Double = 0.0,
    /** Bytes that wait to be written to connections. */
    val pendingBytes: Long = 0,
    val descriptors: Int = 0,
)
