/**
 * An upstream group as this router uses it: [members] is its part of the group, [usable] those that may get work,
 * [active] the requests that have left the queue and whose upstream work has not ended, [limit] how many these may be
 * since an upstream refused work (null before that), [turn] the number of
 * dispatches.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.UpstreamId

data class GroupRow(
    val members: PersistentList<UpstreamId> = persistentListOf(),
    val usable: PersistentList<UpstreamId> = persistentListOf(),
    val active: Int = 0,
    val limit: Double? = null,
    val turn: Long = 0,
    val queue: QueueRow = QueueRow(),
    val retries: RetryBudgetRow = RetryBudgetRow(),
)
