/**
 * A request in flight at this router.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.Route
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId

/**
 * [work] is what was asked for and does not change. [due] is the time of the next step that no message causes
 * and [retryAt] the time of the next attempt. [mayHaveRunBefore] is true while it is not certain that no earlier
 * attempt ran the request with this key, here or through another router. [upstream] is the upstream of the last
 * attempt, [failure] why it failed. [tried] are the upstreams of failed attempts, [unreachable] those of them to which
 * no byte was sent.
 */
data class StreamRow(
    val id: StreamId,
    val key: RequestKey,
    val work: Work,
    val phase: StreamPhase,
    val mayHaveRunBefore: Boolean,
    val due: Timestamp = work.deadline,
    val retryAt: Timestamp? = null,
    val lease: LedgerLease? = null,
    val upstream: UpstreamId? = null,
    val tried: PersistentList<UpstreamId> = persistentListOf(),
    val unreachable: PersistentSet<UpstreamId> = persistentHashSetOf(),
    val isStarted: Boolean = false,
    val answerTokens: Long = 0,
    val failure: AttemptFailure? = null,
    val completion: Completion? = null,
) {
    /** An attempt of this router may have started at an upstream. */
    val mayHaveStarted: Boolean
        get() = phase == StreamPhase.RUNNING || phase == StreamPhase.ANSWERED || failure?.mayHaveRun == true

    val mayHaveRun: Boolean get() = mayHaveRunBefore || mayHaveStarted
}

/**
 * Authenticated work. Amounts are in budget tokens: [promptBound] is the part of the cost that is fixed before
 * dispatch, [costBound] the upper bound of the whole cost.
 */
data class Work(
    val route: Route,
    val budget: BudgetId,
    val body: BodyDigest,
    val priority: Priority,
    val weight: Int,
    val isIdempotent: Boolean,
    val promptBound: Long,
    val answerTokenBound: Int,
    val costBound: Long,
    val prefixHashes: List<Long>,
    val arrivedAt: Timestamp,
    val deadline: Timestamp,
)

/** A whole answer that waits for its charge. */
data class Completion(val cost: Long, val status: Int, val at: Timestamp)
