/**
 * Composition of steps, and the filter for messages of other replicas.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.PersistRecords
import org.ibismoor.consensus.api.RequestVote
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem

internal typealias ConsensusStep = Step<ConsensusTables, ConsensusEffect>
internal typealias ConsensusSystem = TickSystem<ConsensusTables, ConsensusInput, ConsensusEffect>

internal fun ConsensusStep.then(next: (ConsensusTables) -> ConsensusStep): ConsensusStep {
    val step = next(tables)
    return when {
        step.effects.isEmpty() -> Step(step.tables, effects)
        effects.isEmpty() -> step
        else -> Step(step.tables, effects + step.effects)
    }
}

/** Runs [next] for each of [items], each time on the tables of the step before. */
internal fun <T> ConsensusTables.runForEach(
    items: Iterable<T>,
    next: (ConsensusTables, T) -> ConsensusStep,
): ConsensusStep {
    val effects = mutableListOf<ConsensusEffect>()
    val tables = items.fold(this) { tables, item ->
        val step = next(tables, item)
        effects += step.effects
        step.tables
    }
    return Step(tables, effects)
}

internal fun persist(record: ConsensusRecord): PersistRecords = PersistRecords(listOf(record))

/**
 * The messages to handle. Vote requests and messages of a leader are accepted from any replica, because the members in
 * the log of this replica may be outdated. Other messages are accepted from members only, so that a removed member
 * cannot raise the term.
 */
internal fun Tick<ConsensusInput>.acceptedMessages(tables: ConsensusTables): List<MessageReceived> =
    messages.filterIsInstance<MessageReceived>().filter { it.from != tables.self && isAccepted(tables, it) }

private fun isAccepted(tables: ConsensusTables, received: MessageReceived): Boolean =
    when (received.message) {
        is RequestVote, is AppendEntries, is SnapshotPart -> true
        else -> tables.members.any { it.replica == received.from }
    }
