/**
 * Issued tokens of one organisation's budget. Tokens held by a session count as spent until it returns them. Tokens
 * that an ended session did not return stay spent, since it is unknown whether it used them.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Table

@Serializable
data class BudgetRow(
    /** Tokens that ended sessions did not return. */
    val ended: Long = 0,
    /** The part of [ended] that the sessions reported as spent. The rest is stranded. */
    val endedSettled: Long = 0,
    val sessions: Table<SessionId, SessionAllowance> = persistentHashMapOf(),
) {
    /** Tokens issued and not returned, by running and ended sessions. */
    val outstanding: Long get() = ended + sessions.values.sumOf { it.held }

    /** Tokens that are spent for good according to the log, which has the spending of running sessions with a delay. */
    val loggedSpending: Long get() = ended + sessions.values.sumOf { it.settled }
}
