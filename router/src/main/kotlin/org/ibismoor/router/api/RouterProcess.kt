/**
 * A running router.
 */
package org.ibismoor.router.api

import java.util.concurrent.CompletableFuture

interface RouterProcess : AutoCloseable {
    /** Port that callers connect to. */
    val port: Int

    /** Completes when the router has ended: normally after a drain, exceptionally after an internal error. */
    val ended: CompletableFuture<Unit>

    /** Begins to drain: callers are told to go elsewhere, then everything in flight is finished. */
    fun drain()

    /** Stops at once. */
    override fun close()
}
