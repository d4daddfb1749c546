/**
 * Keeps the latest reading of the platform's upstream list. The consensus term forms the high part of a revision, so
 * that the first reading of a new leader has a higher revision than any reading of its predecessor.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.core.api.Tick

private const val REVISIONS_PER_TERM = 1_000_000L

internal class UpstreamListSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val received = tick.messages.filterIsInstance<UpstreamListReceived>().lastOrNull()
        val current = tables.upstreams
        val isChanged = received != null && received.upstreams != current?.upstreams
        return CoordinationStep(if (isChanged) tables.copy(upstreams = nextList(tables, received)) else tables)
    }

    private fun nextList(tables: CoordinationTables, received: UpstreamListReceived?): UpstreamList {
        val firstOfTerm = tables.consensus.status().term * REVISIONS_PER_TERM
        val revision = maxOf(firstOfTerm, (tables.upstreams?.revision ?: 0) + 1)
        return UpstreamList(revision, received?.upstreams.orEmpty())
    }
}
