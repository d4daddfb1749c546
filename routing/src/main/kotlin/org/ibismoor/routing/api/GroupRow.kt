/**
 * An upstream group as this router uses it.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.admission.api.QueueRow
import org.ibismoor.core.api.UpstreamId

/**
 * [members] are the upstreams of the group that this router uses, [usable] those of them that may get work. [active]
 * counts requests that have left the queue and whose upstream work has not ended. [concurrencyLimit] limits [active];
 * it is null until an upstream refuses a request.
 */
data class GroupRow(
    val members: PersistentList<UpstreamId> = persistentListOf(),
    val usable: PersistentList<UpstreamId> = persistentListOf(),
    val active: Int = 0,
    val concurrencyLimit: Double? = null,
    val dispatchCount: Long = 0,
    val queue: QueueRow<StreamId> = QueueRow(),
    val retryBudget: RetryBudgetRow = RetryBudgetRow(),
)
