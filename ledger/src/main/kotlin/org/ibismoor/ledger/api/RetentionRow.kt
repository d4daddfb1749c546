/**
 * Marks in the retention orders of a domain ledger: entries up to the numbers of a mark are older than its time.
 * [recent] serves charges and released attempts, [claims] serves claims. [evicted] counts the charges that were
 * dropped at the bound before their retention ended.
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
