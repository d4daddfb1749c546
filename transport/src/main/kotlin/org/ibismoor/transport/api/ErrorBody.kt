/**
 * Body of every error answer and data of every error event.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.Serializable

@Serializable
data class ErrorBody(val error: ErrorDetail)
