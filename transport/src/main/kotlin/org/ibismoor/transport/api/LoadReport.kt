/**
 * Answer of an upstream to `GET /load`: requests that run and wait, whether it is leaving, and an identifier of this
 * run of the process.
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
