/**
 * Operations on a running control process.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.runtime.api.ListenAddress
import java.util.concurrent.CompletableFuture

interface CoordinatorProcess {
    fun publish(configuration: PublishedConfiguration): CompletableFuture<OperatorAnswer>

    fun readConfiguration(): CompletableFuture<OperatorAnswer>

    /** Orders that [domain] is evacuated from now on, or no longer. */
    fun orderEvacuation(domain: FailureDomainId, isEvacuated: Boolean): CompletableFuture<OperatorAnswer>

    fun metrics(): String

    /** Listens on [address] and serves [handler]. Throws `IOException` if the address cannot be used. */
    fun serve(address: ListenAddress, handler: SimpleHandler)

    /** Replaces the seed hosts after a change of the settings. */
    fun updateSeedHosts(hosts: List<String>)

    /** Transfers leadership and returns when the process may exit. */
    fun drain()
}
