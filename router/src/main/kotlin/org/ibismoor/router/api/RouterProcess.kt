/**
 * A running router process.
 */
package org.ibismoor.router.api

import java.util.concurrent.CompletableFuture

interface RouterProcess : AutoCloseable {
    /** Port on which the router listens for callers. */
    val port: Int

    /** Completes normally after a drain and exceptionally after an internal error. */
    val termination: CompletableFuture<Unit>

    /** Starts a drain: new requests are refused with the addresses of other routers, those in flight complete. */
    fun drain()

    /** Stops without waiting for requests in flight. */
    override fun close()
}
