/**
 * Identifies one attempt by a router to run a request: the router's session and a sequence number within it. A resent
 * message carries the same attempt and gets the same answer.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class AttemptId(val session: SessionId, val sequence: Long)
