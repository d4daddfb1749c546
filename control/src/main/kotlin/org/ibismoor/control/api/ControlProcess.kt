/**
 * A running control process.
 */
package org.ibismoor.control.api

import org.ibismoor.fleet.api.ControlTables
import java.util.concurrent.CompletableFuture

interface ControlProcess : AutoCloseable {
    /** Port that other processes connect to. */
    val port: Int

    /** Tables after the last tick. */
    val tables: ControlTables

    /** Completes when the process has ended: normally after a drain, exceptionally after a failure. */
    val ended: CompletableFuture<Unit>

    /** Hands leadership over, answers what is in flight, stops the listener last and closes the logs. Blocks. */
    fun drain()

    /** Stops at once. */
    override fun close()
}
