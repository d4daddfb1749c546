/**
 * Handle of a running control process.
 */
package org.ibismoor.control.api

import org.ibismoor.fleet.api.ControlTables
import java.util.concurrent.CompletableFuture

interface ControlProcess : AutoCloseable {
    val port: Int

    /** State of the replica after the last tick. */
    val tables: ControlTables

    /** Completes normally after a drain or [close], exceptionally after a failure. */
    val termination: CompletableFuture<Unit>

    /**
     * Transfers the leadership, stops the server once the requests in flight are answered, then stops the control
     * thread and closes the logs. Blocks.
     */
    fun drain()

    /** Stops like [drain], but does not transfer the leadership. */
    override fun close()
}
