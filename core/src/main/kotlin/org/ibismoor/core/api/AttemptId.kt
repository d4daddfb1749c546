/**
 * Identity of one attempt of a router at a request: the router's session and a sequence number within it. A message
 * that is sent again carries the same attempt and gets the same answer.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class AttemptId(val session: SessionId, val sequence: Long)
