/**
 * Spending limits that a router records on its disk before it spends. They prove how much of its tokens an ended
 * session can have spent, so that the rest returns to the budget.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SessionId

@Serializable
enum class SpendingRecording {
    /** The session records nothing. */
    NONE,

    /** The session spends nothing beyond its recorded limits. */
    RECORDED,

    /** The session can no longer record, and spends beyond its limits once the leader has confirmed this. */
    STOPPED,
}

/** An earlier session of a router, which has spent at most [spendingLimits]; nothing of a budget without a limit. */
@Serializable
data class EndedSession(val session: SessionId, val spendingLimits: Map<OrganisationId, Long>)
