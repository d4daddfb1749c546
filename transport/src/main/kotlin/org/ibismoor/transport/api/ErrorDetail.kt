/**
 * Error reported to a caller. [code] is the code of a refusal reason, [type] groups codes as client libraries expect,
 * [retryAfterMillis] is the minimum delay before a retry, and [addresses] are routers to use instead.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.Outcome

@Serializable
data class ErrorDetail(
    val message: String,
    val type: String,
    val code: String,
    val outcome: Outcome,
    @SerialName("retry_after_ms") val retryAfterMillis: Long? = null,
    val addresses: List<String>? = null,
    @SerialName("recorded_status") val recordedStatus: Int? = null,
)
