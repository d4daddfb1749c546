/**
 * Body of error answers and data of error events.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.Serializable

@Serializable
data class ErrorBody(val error: ErrorDetail)
