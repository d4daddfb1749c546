/**
 * Where a stream began. Upstreams of another software version write a different text, so the stream may go on only at
 * upstreams with the same origin.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
data class StreamOrigin(val group: UpstreamGroupId, val version: SoftwareVersion)

val UpstreamEntry.origin: StreamOrigin get() = StreamOrigin(group, version)

/** Streams that began at [origin]. */
@Serializable
data class BegunStreams(val origin: StreamOrigin, val streams: List<StreamDigest>)
