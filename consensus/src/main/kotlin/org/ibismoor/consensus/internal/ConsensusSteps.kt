/**
 * Small functions to compose steps.
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

/** Runs [next] for each of [items], each on the tables that the one before left. */
internal fun <T> ConsensusTables.forEach(
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
 * The messages to handle. A vote request or a message of a leader counts although its sender is not in the membership
 * that this replica knows, since this replica may be behind. Any other message of a non-member is ignored, so a
 * removed member cannot raise the term.
 */
internal fun Tick<ConsensusInput>.received(tables: ConsensusTables): List<MessageReceived> =
    messages.filterIsInstance<MessageReceived>().filter { it.from != tables.self && isHeard(tables, it) }

private fun isHeard(tables: ConsensusTables, received: MessageReceived): Boolean =
    when (received.message) {
        is RequestVote, is AppendEntries, is SnapshotPart -> true
        else -> tables.members.any { it.replica == received.from }
    }
