/**
 * Keeps the latest reading of the platform's upstream list. The consensus term forms the high part of a revision, so
 * that the first reading of a new leader has a higher revision than any reading of its predecessor. A reading with a
 * software version that is not committed yet is held back: no stream may begin at a version that a later leader does
 * not know of. It is held back too while a change of the versions is on its way, which may forget one that has
 * returned.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.api.origin
import org.ibismoor.core.api.Tick

private const val REVISIONS_PER_TERM = 1_000_000L

internal class UpstreamListSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val received = tick.messages.filterIsInstance<UpstreamListReceived>().lastOrNull()?.upstreams
        val upstreams = received ?: tables.heldUpstreams ?: return CoordinationStep(tables)
        val streams = tables.state.streams
        val isSettled = hasAppliedEarlierTerms(tables) && !tables.hasVersionProposal
        val isCommitted = isSettled && upstreams.all { streams.isListed(it.origin) }
        val current = tables.upstreams
        val isUnchanged = upstreams == current?.upstreams && streams.mixedGroups == current.mixedGroups
        val next = when {
            !isCommitted -> tables.copy(heldUpstreams = upstreams)
            isUnchanged -> tables.copy(heldUpstreams = null)
            else -> tables.copy(heldUpstreams = null, upstreams = nextList(tables, upstreams))
        }
        return CoordinationStep(next)
    }

    private fun nextList(tables: CoordinationTables, upstreams: List<UpstreamEntry>): UpstreamList {
        val firstOfTerm = tables.consensus.status().term * REVISIONS_PER_TERM
        val revision = maxOf(firstOfTerm, (tables.upstreams?.revision ?: 0) + 1)
        return UpstreamList(revision, upstreams, tables.state.streams.mixedGroups)
    }
}
