/**
 * The target of a request, independent of the protocol that it arrived by.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.RouteId

sealed interface RequestTarget

/**
 * A chat completion. [promptTokenBound] is an upper bound of the prompt length in tokens, [answerTokenBound] the
 * caller's own limit of the answer length if the request states one. [prefixHashes] are the hashes of successively
 * longer prefixes of the prompt, shortest first.
 */
data class ModelTarget(
    val model: String,
    val promptTokenBound: Long,
    val answerTokenBound: Int?,
    val prefixHashes: List<Long>,
) : RequestTarget

/** A call to an HTTP service; [path] is relative to the route. */
data class ServiceTarget(val route: RouteId, val method: String, val path: String) : RequestTarget
