/**
 * The upstream list as the leader read it. A later reading has a higher [revision], also across changes of the leader.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable

@Serializable
data class UpstreamList(val revision: Long, val upstreams: List<UpstreamEntry>)
