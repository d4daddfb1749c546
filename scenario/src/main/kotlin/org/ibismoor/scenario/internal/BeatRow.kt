/**
 * What a router knows of its heartbeats to one domain: when the last answer came and the versions that it brought.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.Timestamp

internal data class BeatRow(
    val heardAt: Timestamp? = null,
    val routerListVersion: Long = 0,
    val reportVersion: Long = 0,
)
