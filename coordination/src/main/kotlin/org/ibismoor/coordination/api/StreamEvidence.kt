/**
 * What a router tells and asks the leader about the beginnings of streams, part of its report, and the leader's
 * answers.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
data class StreamEvidence(
    /** Streams that the router knows in groups with several software versions, or on routes with several groups. */
    val begun: List<BegunStreams> = emptyList(),
    /** Streams that callers want to continue and whose origin the router does not know. */
    val asked: List<StreamQuestion> = emptyList(),
)

/** Where did [stream] begin, if it began in [group]? */
@Serializable
data class StreamQuestion(val stream: StreamDigest, val group: UpstreamGroupId)

/**
 * The [origin] of [stream], null if it is not recorded. Then a stream of [group] began at [soleVersion], if only one
 * version of the group can have begun a stream that callers still continue; null if there are several.
 */
@Serializable
data class StreamAnswer(
    val stream: StreamDigest,
    /** The group that the question named. */
    val group: UpstreamGroupId? = null,
    val origin: StreamOrigin? = null,
    val soleVersion: SoftwareVersion? = null,
)
