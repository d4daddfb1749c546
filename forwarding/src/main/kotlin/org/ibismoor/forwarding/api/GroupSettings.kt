/**
 * Declared properties of an upstream group.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.UpstreamGroupId

data class GroupSettings(
    val id: UpstreamGroupId,
    /** Connections that one upstream accepts in total from all routers. */
    val maximumConnections: Int,
    /** Null if the upstreams are plain services. */
    val engine: EngineSettings?,
    /** Null if upstreams tolerate all requests from their start on. */
    val cold: ColdSettings? = null,
)

/** An upstream is cold for [startMillis] after its start, and tolerates [requestsPerSecond] while it is. */
data class ColdSettings(val startMillis: Long, val requestsPerSecond: Double)

/** Declared properties of the model engines of a group. */
data class EngineSettings(
    val slots: Int,
    /** Capacity in tokens for running requests and cached prompt parts together. */
    val memoryTokens: Long,
    val tokensPerEvent: Int,
)
