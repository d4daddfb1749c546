/**
 * Applies commands to the replicated state. Every replica applies the same commands in the same order, and the checks
 * here also cover commands that a former leader proposed on an outdated state.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.AllowanceMove
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationCommand
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.LoggedRequestQuarantine
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.PublishConfiguration
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.SessionAllowance
import org.ibismoor.coordination.api.SessionStart
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SessionId

private const val MAXIMUM_LOGGED_QUARANTINES = 256

internal fun applyCommand(state: CoordinationState, command: CoordinationCommand): CoordinationState =
    when (command) {
        is PublishConfiguration -> publishConfiguration(state, command.configuration)
        is MoveAllowances -> {
            val moved = command.moves.fold(command.sessions.fold(state, ::startSession), ::moveTokens)
            val quarantined = command.quarantines.fold(moved, ::changeQuarantine)
            command.streams?.let { quarantined.copy(streams = quarantined.streams.withChanges(it)) } ?: quarantined
        }
    }

/** The leader ends quarantines before it exceeds the limit; two leaders in a row may exceed it together. */
private fun changeQuarantine(state: CoordinationState, quarantine: LoggedRequestQuarantine): CoordinationState {
    val table = state.requestQuarantines
    val next = when {
        quarantine.crashes == 0 -> table.remove(quarantine.digest)
        quarantine.digest in table || table.size < MAXIMUM_LOGGED_QUARANTINES ->
            table.put(quarantine.digest, quarantine.crashes)
        else -> table
    }
    return state.copy(requestQuarantines = next)
}

/** Of two configurations with the same version, the first one in the log is in force. */
private fun publishConfiguration(state: CoordinationState, configuration: PublishedConfiguration): CoordinationState =
    when {
        configuration.version > (state.configuration?.version ?: 0) -> state.copy(configuration = configuration)
        else -> state
    }

private fun startSession(state: CoordinationState, start: SessionStart): CoordinationState {
    val earlier = state.sessions[start.router]
    if (earlier == start.session) return state
    val budgets = state.budgets.mutate { table ->
        if (earlier != null) table.entries.toList().forEach { (id, row) -> table[id] = row.withoutSession(earlier) }
    }
    return state.copy(sessions = state.sessions.put(start.router, start.session), budgets = budgets)
}

private fun BudgetRow.withoutSession(session: SessionId): BudgetRow {
    val row = sessions[session] ?: return this
    val settled = row.settled.coerceAtMost(row.held)
    return BudgetRow(ended + row.held, endedSettled + settled, sessions.remove(session))
}

/** A move for an ended session changes nothing: the tokens that it held count as spent. */
private fun moveTokens(state: CoordinationState, move: AllowanceMove): CoordinationState {
    val isCurrent = state.sessions.values.any { it == move.session }
    return if (isCurrent) moveSessionTokens(state, move) else state
}

private fun moveSessionTokens(state: CoordinationState, move: AllowanceMove): CoordinationState {
    val row = state.budgets[move.organisation] ?: BudgetRow()
    val session = row.sessions[move.session] ?: SessionAllowance()
    val returned = move.returned.coerceIn(session.returned, session.issued)
    val withReturned = row.copy(sessions = row.sessions.put(move.session, session.copy(returned = returned)))
    val issued = move.issued.coerceIn(0, unissued(state, move.organisation, withReturned).coerceAtLeast(0))
    val updated = SessionAllowance(session.issued + issued, returned, maxOf(session.settled, move.settled))
    val withIssued = withReturned.copy(sessions = withReturned.sessions.put(move.session, updated))
    return state.copy(budgets = state.budgets.put(move.organisation, withIssued))
}

/** Tokens that can be issued; negative if the budget was lowered below the outstanding tokens. */
internal fun unissued(state: CoordinationState, organisation: OrganisationId, row: BudgetRow): Long =
    (state.configuration?.budgets?.get(organisation) ?: 0) - row.outstanding
