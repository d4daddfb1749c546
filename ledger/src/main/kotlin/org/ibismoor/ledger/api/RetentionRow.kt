/**
 * Marks in the retention orders of a domain ledger: entries up to the numbers of a mark are older than its time.
 * [recent] is for charges and released attempts, [claims] for claims. [evicted] counts the charges that were dropped
 * before the end of their retention because the table was full.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.Timestamp

data class RetentionRow(
    val due: Timestamp,
    val recent: PersistentList<RetentionMark> = persistentListOf(),
    val claims: PersistentList<RetentionMark> = persistentListOf(),
    val evicted: Long = 0,
)
