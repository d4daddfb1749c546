/**
 * What was observed in a running scenario, from which outcomes are judged.
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
    val publications: PersistentList<PublicationSeen> = persistentListOf(),
    val inForceAt: PersistentMap<ConfigurationNumber, Timestamp> = persistentHashMapOf(),
    val violations: PersistentList<String> = persistentListOf(),
    val granted: PersistentMap<BudgetId, Long> = persistentHashMapOf(),
    val voided: PersistentMap<BudgetId, Long> = persistentHashMapOf(),
    val applied: PersistentMap<ReplicaId, ConfigurationNumber> = persistentHashMapOf(),
) {
    /** An upstream ran the request with [key] for [stream]. */
    fun executed(key: String, stream: Long, isIdempotent: Boolean): Observations {
        val count = (executions[key] ?: 0) + 1
        val next = copy(executions = executions.put(key, count), executedStreams = executedStreams.add(stream))
        return when {
            stream in streamsNotRun -> next.violated("$key ran after the refusal said that it did not")
            !isIdempotent && count > 1 -> next.violated("$key ran $count times")
            else -> next
        }
    }

    /** A caller was told that the request with [key] did not run. */
    fun refusedNotRun(key: String, stream: Long, isIdempotent: Boolean): Observations {
        val hasRun = if (isIdempotent) stream in executedStreams else key in executions
        val next = copy(streamsNotRun = streamsNotRun.add(stream))
        return if (hasRun) next.violated("$key was refused as not run, but it ran") else next
    }

    /** A caller got the whole answer to the request with [key]. */
    fun answered(key: String): Observations = copy(answers = answers.put(key, (answers[key] ?: 0) + 1))

    fun published(row: PublicationRow, result: FleetResult, at: Timestamp): Observations {
        val seen = PublicationSeen(row.configuration.number, row.digest, result, at)
        val other = publications.any { it.number == seen.number && it.digest != seen.digest && it.result == Applied }
        val next = copy(publications = publications.add(seen))
        return if (other && result == Applied) next.violated("number ${seen.number} was accepted twice") else next
    }

    fun inForce(number: ConfigurationNumber, at: Timestamp): Observations =
        if (number in inForceAt) this else copy(inForceAt = inForceAt.put(number, at))

    fun violated(text: String): Observations =
        if (text in violations) this else copy(violations = violations.add(text))
}

/** The answer that an operator got to a publication. */
internal data class PublicationSeen(
    val number: ConfigurationNumber,
    val digest: String,
    val result: FleetResult,
    val at: Timestamp,
)
