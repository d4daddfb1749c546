/**
 * State of the rate limit of an organisation.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.Timestamp

/** [remaining] is in thousandths of a request, as of [updatedAt]. */
data class RateLimitRow(val remaining: Long, val updatedAt: Timestamp)
