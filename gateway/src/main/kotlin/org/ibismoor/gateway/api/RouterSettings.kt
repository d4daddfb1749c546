/**
 * Settings of a router process. Addresses are IP number and port.
 */
package org.ibismoor.gateway.api

import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.runtime.api.ListenAddress

data class RouterSettings(
    val forwarding: ForwardingSettings,
    val callerAddress: ListenAddress,
    /** Port on which every control process takes reports. */
    val controlPort: Int,
    /** Port on which every router takes calls of other routers. */
    val routerPort: Int,
    val drain: DrainTimes = DrainTimes(),
)

private const val LISTED_MILLIS = 2_200L
private const val IDLE_MILLIS = 4_500L
private const val END_MILLIS = 7_200L

/** Times after the start of a drain, in milliseconds. */
data class DrainTimes(
    /** Until then new connections are taken, since callers may still have the address. */
    val stopListeningAfterMillis: Long = LISTED_MILLIS,
    /** From then on idle connections are closed. */
    val closeIdleAfterMillis: Long = IDLE_MILLIS,
    /** The process ends then, whatever is under way. */
    val terminateAfterMillis: Long = END_MILLIS,
)
