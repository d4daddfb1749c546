/**
 * Numbers of answers of an engine stand-in since its start.
 */
package org.ibismoor.standin.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
data class EngineCounts(
    val started: Int = 0,
    val completed: Int = 0,
    val cancelled: Int = 0,
    @SerialName("started_while_leaving") val startedWhileLeaving: Int = 0,
)
