/**
 * Keeps the newest reading of the platform's list. The term is the high part of a revision, so that a new leader's
 * first reading is newer than any of the leader before.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.core.api.Tick

private const val READINGS_PER_TERM = 1_000_000L

internal class UpstreamListSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val listed = tick.messages.filterIsInstance<UpstreamListReceived>().lastOrNull()
        val current = tables.upstreams
        val isChanged = listed != null && listed.upstreams != current?.upstreams
        return CoordinationStep(if (isChanged) tables.copy(upstreams = next(tables, listed)) else tables)
    }

    private fun next(tables: CoordinationTables, listed: UpstreamListReceived?): UpstreamList {
        val first = tables.consensus.status().term * READINGS_PER_TERM
        val revision = maxOf(first, (tables.upstreams?.revision ?: 0) + 1)
        return UpstreamList(revision, listed?.upstreams.orEmpty())
    }
}
