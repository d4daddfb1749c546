/**
 * What the fleet remembers of the beginnings of streams, part of the replicated state: it outlasts a loss of power of
 * all VMs. A stream of a route with one group that has had one software version needs no record.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.PersistentListSerializer
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.Table
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
data class StreamTables(
    /** Versions that may have begun a stream which its caller can still continue. */
    val versions: Table<UpstreamGroupId, List<SoftwareVersion>> = persistentHashMapOf(),
    /** Recorded streams, the oldest first. */
    @Serializable(with = PersistentListSerializer::class)
    val begun: PersistentList<BegunStreams> = persistentListOf(),
) {
    /** Groups in which a stream can have begun at several versions. */
    val mixedGroups: List<UpstreamGroupId> get() = versions.filterValues { it.size > 1 }.keys.sorted()

    fun isListed(origin: StreamOrigin): Boolean = origin.version in versions[origin.group].orEmpty()
}

/** Changes of [StreamTables]. Routers learn of upstreams with a new version after it is among [appeared] versions. */
@Serializable
data class StreamChanges(
    val appeared: List<StreamOrigin> = emptyList(),
    val forgotten: List<StreamOrigin> = emptyList(),
    val begun: List<BegunStreams> = emptyList(),
)
