/**
 * Observations of a running scenario from which the guarantees are checked.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.FleetResult

internal data class Observations(
    val executions: PersistentMap<String, Int> = persistentHashMapOf(),
    val executedStreams: PersistentSet<Long> = persistentHashSetOf(),
    val streamsNotRun: PersistentSet<Long> = persistentHashSetOf(),
    val answers: PersistentMap<String, Int> = persistentHashMapOf(),
    val publications: PersistentList<ObservedPublication> = persistentListOf(),
    val inForceAt: PersistentMap<ConfigurationNumber, Timestamp> = persistentHashMapOf(),
    val violations: PersistentList<String> = persistentListOf(),
    val granted: PersistentMap<BudgetId, Long> = persistentHashMapOf(),
    val voided: PersistentMap<BudgetId, Long> = persistentHashMapOf(),
    val applied: PersistentMap<ReplicaId, ConfigurationNumber> = persistentHashMapOf(),
) {
    /** Records that an upstream ran the request with [key] for [stream]. */
    fun withExecution(key: String, stream: Long, isIdempotent: Boolean): Observations {
        val count = (executions[key] ?: 0) + 1
        val next = copy(executions = executions.put(key, count), executedStreams = executedStreams.add(stream))
        return when {
            stream in streamsNotRun -> next.withViolation("$key ran after the refusal said that it did not")
            !isIdempotent && count > 1 -> next.withViolation("$key ran $count times")
            else -> next
        }
    }

    /**
     * Records a refusal that says that the request with [key] did not run. An idempotent request may have run in
     * another stream; any other request must not have run at all.
     */
    fun withNotRunRefusal(key: String, stream: Long, isIdempotent: Boolean): Observations {
        val hasRun = if (isIdempotent) stream in executedStreams else key in executions
        val next = copy(streamsNotRun = streamsNotRun.add(stream))
        return if (hasRun) next.withViolation("$key was refused as not run, but it ran") else next
    }

    /** Records that a caller received the complete answer to the request with [key]. */
    fun withAnswer(key: String): Observations = copy(answers = answers.put(key, (answers[key] ?: 0) + 1))

    fun withPublication(row: PublicationRow, result: FleetResult, at: Timestamp): Observations {
        val observed = ObservedPublication(row.configuration.number, row.digest, result, at)
        val isConflicting = result == Applied && publications.any {
            it.number == observed.number && it.digest != observed.digest && it.result == Applied
        }
        val next = copy(publications = publications.add(observed))
        return if (isConflicting) next.withViolation("number ${observed.number} was accepted twice") else next
    }

    fun withInForce(number: ConfigurationNumber, at: Timestamp): Observations =
        if (number in inForceAt) this else copy(inForceAt = inForceAt.put(number, at))

    fun withViolation(text: String): Observations =
        if (text in violations) this else copy(violations = violations.add(text))
}

/** The answer that an operator received to a publication. */
internal data class ObservedPublication(
    val number: ConfigurationNumber,
    val digest: String,
    val result: FleetResult,
    val at: Timestamp,
)
