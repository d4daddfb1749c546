/**
 * Settings of a router process. Hosts in addresses are IP addresses.
 */
package org.ibismoor.gateway.api

import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.runtime.api.ListenAddress

data class RouterSettings(
    val forwarding: ForwardingSettings,
    /** Address to listen on, which may differ from the one in [ForwardingSettings.entry] that others use. */
    val callerAddress: ListenAddress,
    /** Port on which every control process receives reports. */
    val controlPort: Int,
    /** Port on which every router receives requests from other routers. */
    val routerPort: Int,
    val drain: DrainTimes = DrainTimes(),
    /** Local host of outgoing connections; null lets the operating system choose. */
    val clientHost: String? = null,
)

private const val STOP_LISTENING_AFTER_MILLIS = 2_200L
private const val CLOSE_IDLE_AFTER_MILLIS = 4_500L

/** Steps of a drain, in milliseconds after its start. */
data class DrainTimes(
    /** New connections are accepted until then, since callers may still have the address of this router. */
    val stopListeningAfterMillis: Long = STOP_LISTENING_AFTER_MILLIS,
    /** Idle connections are closed then. */
    val closeIdleAfterMillis: Long = CLOSE_IDLE_AFTER_MILLIS,
)
