/**
 * Last load report of an upstream. [UpstreamReport.ageMillis] is the time since the upstream created it.
 * [UpstreamReport.startId] changes when the upstream restarts, which ends its leaving state.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.UpstreamId

@Serializable
data class UpstreamReport(
    val upstream: UpstreamId,
    val running: Int,
    val waiting: Int,
    val isLeaving: Boolean,
    val startId: String,
    val ageMillis: Long,
)
