/**
 * A request that waits in a queue.
 */
package org.ibismoor.admission.api

import org.ibismoor.core.api.OrganisationId

data class QueueEntry<K>(
    val id: K,
    val organisation: OrganisationId,
    /** 0 is the highest priority. */
    val priority: Int,
    /** Share of the turns in relation to other organisations. */
    val weight: Int,
    /** Upper bound of the cost of the work, in the unit of the turns: budget tokens. */
    val cost: Long,
    /** Requests of one organisation and rank leave in ascending order: of arrival, or of a time in milliseconds. */
    val order: Long,
    /** The request gets only room that no other request of any priority wants. */
    val isSurplus: Boolean = false,
) {
    val rank: QueueRank get() = QueueRank(isSurplus, priority)
}
