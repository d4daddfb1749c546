/**
 * A batch of requests that are not all decided yet, with the answers so far by position.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

data class BatchRow(val size: Int, val answers: PersistentMap<Int, LedgerAnswer> = persistentHashMapOf())
