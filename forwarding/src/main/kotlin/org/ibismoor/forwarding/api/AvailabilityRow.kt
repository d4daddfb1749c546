/**
 * What an upstream has said in its answers about the requests that it wants from this router.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class AvailabilityRow(
    /** When the upstream first announced in an answer that it is leaving; null if it has not. */
    val leavingSince: Timestamp? = null,
    /** When the list first showed here that the upstream is leaving; null if it always has, or does not. */
    val listedLeavingSince: Timestamp? = null,
    /** End of the pause that the upstream asked for; null without a pause. */
    val pausedUntil: Timestamp? = null,
    /** End of the last pause, from which the number of requests in flight may rise again; null if there was none. */
    val resumedAt: Timestamp? = null,
)
