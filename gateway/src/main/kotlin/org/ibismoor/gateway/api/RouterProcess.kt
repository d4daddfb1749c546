/**
 * Operations on a running router.
 */
package org.ibismoor.gateway.api

import org.ibismoor.forwarding.api.AddressAnswer
import org.ibismoor.forwarding.api.CallerPlace
import org.ibismoor.runtime.api.ListenAddress

interface RouterProcess {
    /** True if the router can accept requests and is not draining. */
    val isReady: Boolean

    /** Routers that [caller] may use, from the leader's last list, and for how long. */
    fun addressesFor(caller: CallerPlace): AddressAnswer

    /** Metrics in the Prometheus text format. */
    fun metrics(): String

    /** Listens on [address], in addition to the callers' address, and serves [handler]. */
    fun serve(address: ListenAddress, handler: SimpleHandler)

    /** Replaces the control hosts after a change of the settings. */
    fun updateControlHosts(hosts: List<String>)

    /** Finishes open requests, within the drain times, and returns when the process may exit. */
    fun drain()
}
