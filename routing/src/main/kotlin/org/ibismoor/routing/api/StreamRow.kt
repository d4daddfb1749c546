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
 * [due] is the time of the next step that no message triggers, [retryAt] the time of the next attempt.
 * [mayHaveRunBefore] is true while an earlier attempt may have run the request with this key, here or through another
 * router. [upstream] is the upstream of the last attempt and [failure] the reason why it failed. [failedUpstreams] has
 * one entry for each failed attempt, [unreachableUpstreams] those to which no byte was sent.
 */
data class StreamRow(
    val id: StreamId,
    val key: RequestKey,
    val work: Work,
    val phase: StreamPhase,
    val mayHaveRunBefore: Boolean,
    val due: Timestamp = work.deadline,
    val retryAt: Timestamp? = null,
    val reservation: StreamReservation? = null,
    val upstream: UpstreamId? = null,
    val failedUpstreams: PersistentList<UpstreamId> = persistentListOf(),
    val unreachableUpstreams: PersistentSet<UpstreamId> = persistentHashSetOf(),
    val isAnswerStarted: Boolean = false,
    val answerTokens: Long = 0,
    val failure: AttemptFailure? = null,
    val completion: Completion? = null,
) {
    /** True if an attempt of this router may have started at an upstream. */
    val mayHaveStarted: Boolean
        get() = phase == StreamPhase.RUNNING || phase == StreamPhase.ANSWERED || failure?.mayHaveRun == true

    val mayHaveRun: Boolean get() = mayHaveRunBefore || mayHaveStarted
}

/**
 * The work of an authenticated request, which does not change. Amounts are in budget tokens: [promptBound] is the part
 * of the cost that is fixed before dispatch, [costBound] the upper bound of the whole cost.
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

/** A complete answer that waits for its charge. [cost] is in budget tokens. */
data class Completion(val cost: Long, val status: Int, val completedAt: Timestamp)
