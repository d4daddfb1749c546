/**
 * State of the heartbeats of a router to one failure domain: time of the last answer and the versions in it.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.Timestamp

internal data class HeartbeatRow(
    val lastContactAt: Timestamp? = null,
    val routerListVersion: Long = 0,
    val reportVersion: Long = 0,
)
