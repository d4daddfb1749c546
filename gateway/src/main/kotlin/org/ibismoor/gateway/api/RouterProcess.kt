/**
 * A running router.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.runtime.api.ListenAddress

interface RouterProcess {
    /** True if the router can take requests and is not draining. */
    val isReady: Boolean

    /** Routers that callers may use, as the leader listed them last; those of [domain] first. */
    fun routersFor(domain: String): List<RouterEntry>

    /** Metrics in text form. */
    fun metrics(): String

    /** Serves [handler] at [address] beside the callers' address. */
    fun serve(address: ListenAddress, handler: SimpleHandler)

    /** The control hosts have changed in the settings. */
    fun updateControlHosts(hosts: List<String>)

    /** Finishes the requests under way and returns when the process may end. */
    fun drain()
}
