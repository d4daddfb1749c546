/**
 * Identifies a request: the organisation and the idempotency key that the caller chose or a router generated. Charges
 * and claims are keyed by request, never by attempt.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class RequestKey(val organisation: OrganisationId, val key: String)
