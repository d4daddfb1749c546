/**
 * Keeps the replicated list of software versions that may have begun a stream. A version that appears in the platform's
 * list is committed before routers learn of its upstreams. One that has left the list is forgotten once no caller can
 * still continue a stream that began there.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.StreamChanges
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.api.origin
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

internal class SoftwareVersionSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val received = tick.messages.filterIsInstance<UpstreamListReceived>().lastOrNull()
        if (received == null || tables.leadingSince == null) return CoordinationStep(tables)
        val next = tables.copy(absentVersions = absentVersions(tables, received.upstreams, tick.now))
        return CoordinationStep(proposeChanges(next, received.upstreams, tick.now))
    }

    /** A new leader counts the absence from its own start, since the clocks of VMs cannot be compared. */
    private fun absentVersions(
        tables: CoordinationTables,
        upstreams: List<UpstreamEntry>,
        now: Timestamp,
    ): PersistentMap<StreamOrigin, Timestamp> {
        val listed = upstreams.map { it.origin }.toSet()
        val known = tables.state.streams.versions.flatMap { (group, all) -> all.map { StreamOrigin(group, it) } }
        return known.filter { it !in listed }.associateWith { tables.absentVersions[it] ?: now }.toPersistentHashMap()
    }

    private fun proposeChanges(
        tables: CoordinationTables,
        upstreams: List<UpstreamEntry>,
        now: Timestamp,
    ): CoordinationTables {
        val changes = StreamChanges(
            appeared = upstreams.map { it.origin }.distinct().filterNot(tables.state.streams::isListed),
            forgotten = tables.absentVersions.filterValues { now - it >= settings.streamRetentionMillis }.keys.toList(),
        )
        if (tables.hasVersionProposal || changes == StreamChanges()) return tables
        val command = codec.writeCommand(MoveAllowances(emptyList(), emptyList(), streams = changes))
        return proposeCommand(tables.copy(versionProposal = tables.nextNumber), command, emptyList())
    }
}

/** A change of the committed software versions is on its way. */
internal val CoordinationTables.hasVersionProposal: Boolean
    get() = versionProposal?.let { it in proposals } ?: false
