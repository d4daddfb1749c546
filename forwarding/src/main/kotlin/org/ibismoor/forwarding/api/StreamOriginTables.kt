/**
 * What a router knows of the origins of streams: those that began here or that it has learned of, and the requests that
 * wait for the answer of another process.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.UpstreamGroupId

data class StreamOriginTables(
    val origins: PersistentMap<StreamDigest, StreamOrigin> = persistentHashMapOf(),
    /** When each of [origins] is forgotten, with the next tick after it. */
    val expiry: DueQueue<StreamDigest> = DueQueue.empty(),
    /** Groups in which a stream can have begun at several software versions; the leader records their streams. */
    val mixedGroups: PersistentSet<UpstreamGroupId> = persistentHashSetOf(),
    /** Streams of [mixedGroups], or of routes with several groups, that are to be reported to the leader. */
    val unreported: PersistentList<StreamDigest> = persistentListOf(),
    /** Those in the report in flight. */
    val inReport: PersistentList<StreamDigest> = persistentListOf(),
    /** Requests in the phase [AwaitingOrigin]. */
    val awaiting: PersistentSet<RequestNumber> = persistentHashSetOf(),
)

/** The origins of those of [asked] that this router knows, for the answer to another router. */
fun ForwardingTables.knownOrigins(asked: List<StreamDigest>): Map<StreamDigest, StreamOrigin> =
    asked.mapNotNull { stream -> streams.origins[stream]?.let { stream to it } }.toMap()
