/**
 * Answer of an upstream to `GET /load`: running and waiting requests, whether it is leaving, and an identifier that
 * changes with each start of the process.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
data class LoadReport(
    val running: Int,
    val waiting: Int,
    @SerialName("is_leaving") val isLeaving: Boolean,
    @SerialName("start_id") val startId: String,
)
