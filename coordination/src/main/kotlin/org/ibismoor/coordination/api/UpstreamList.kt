/**
 * The upstream list as the leader read it. A later reading has a higher [revision], also across changes of the leader.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
data class UpstreamList(
    val revision: Long,
    val upstreams: List<UpstreamEntry>,
    /** Groups in which a stream can have begun at several software versions. */
    val mixedGroups: List<UpstreamGroupId> = emptyList(),
)
