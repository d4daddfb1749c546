/**
 * Use of one budget at a domain ledger: tokens held for pending claims, tokens asked for in the present and the last
 * window, the attempts that wait for a larger share in order of arrival, and what was asked of the leader.
 * [exhaustedUntil] is the end of the time for which the leader's answer that the budget is exhausted holds.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.Timestamp

data class UsageRow(
    val windowStart: Timestamp,
    val inWindow: Long = 0,
    val inLastWindow: Long = 0,
    val held: Long = 0,
    val waiting: PersistentList<AttemptId> = persistentListOf(),
    val askedAt: Timestamp? = null,
    val exhaustedUntil: Timestamp? = null,
)
