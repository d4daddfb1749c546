/**
 * Use of one budget at a domain ledger: tokens requested by callers in the current and the previous window, tokens
 * held for pending claims, the attempts that wait for a larger share in order of arrival, and the time of the last
 * request to the leader. Until [exhaustedUntil], the answer of the leader that the budget is exhausted holds.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.Timestamp

data class UsageRow(
    val windowStart: Timestamp,
    val currentDemand: Long = 0,
    val previousDemand: Long = 0,
    val heldTokens: Long = 0,
    val waitingAttempts: PersistentList<AttemptId> = persistentListOf(),
    val requestedAt: Timestamp? = null,
    val exhaustedUntil: Timestamp? = null,
)
