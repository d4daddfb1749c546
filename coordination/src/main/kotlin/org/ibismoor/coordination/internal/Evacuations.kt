/**
 * Applies orders on failure domains to the replicated state, and reads the list that routers follow from it.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationCommand
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.EvacuationChange
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.NotifyEvacuationChange

/** Applies a [command] that is committed at [index]. */
internal fun applyEntry(state: CoordinationState, command: CoordinationCommand, index: Long): CoordinationState {
    val changes = (command as? MoveAllowances)?.evacuations.orEmpty()
    return applyCommand(state, command).withEvacuations(changes, index)
}

/** An order that changes nothing keeps the index, so that routers do not report a change that there is not. */
private fun CoordinationState.withEvacuations(changes: List<EvacuationChange>, index: Long): CoordinationState {
    val next = changes.fold(evacuations) { table, change ->
        when {
            !change.isEvacuated -> table.remove(change.domain)
            change.domain in table -> table
            else -> table.put(change.domain, index)
        }
    }
    return if (next == evacuations) this else copy(evacuations = next, evacuationIndex = index)
}

internal fun evacuationList(state: CoordinationState): EvacuationList =
    EvacuationList(state.evacuationIndex, state.evacuations.keys.sorted())

internal fun evacuationNotice(before: CoordinationState, after: CoordinationState): CoordinationEffect? =
    NotifyEvacuationChange(evacuationList(after)).takeIf { before.evacuationIndex != after.evacuationIndex }
