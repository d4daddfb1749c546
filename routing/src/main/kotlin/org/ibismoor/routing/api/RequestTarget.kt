/**
 * What a request asks for, in terms that no protocol is needed to read.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.RouteId

sealed interface RequestTarget

/**
 * A chat completion. [promptTokenBound] is an upper bound of its prompt in tokens, [answerTokenBound] the caller's
 * own bound of the answer if it states one, and [prefixHashes] the hashes of growing prefixes of the prompt, shortest
 * first.
 */
data class ModelTarget(
    val model: String,
    val promptTokenBound: Long,
    val answerTokenBound: Int?,
    val prefixHashes: List<Long>,
) : RequestTarget

/** A call of a plain service; [path] is the part below the route. */
data class ServiceTarget(val route: RouteId, val method: String, val path: String) : RequestTarget
