/**
 * A running control process.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.runtime.api.ListenAddress
import java.util.concurrent.CompletableFuture

interface CoordinatorProcess {
    fun publish(configuration: PublishedConfiguration): CompletableFuture<OperatorAnswer>

    fun readConfiguration(): CompletableFuture<OperatorAnswer>

    fun metrics(): String

    /** Serves [handler] at [address]. */
    fun serve(address: ListenAddress, handler: SimpleHandler)

    /** The settings name [hosts] as those of control processes. */
    fun updateSeedHosts(hosts: List<String>)

    /** Hands leadership over and returns when the process may end. */
    fun drain()
}
