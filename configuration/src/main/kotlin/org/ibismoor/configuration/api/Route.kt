/**
 * A route from callers to an upstream group. A model route is chosen by the model name in a chat completion; a
 * service route is chosen by the first path segment after `/services/`.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.Rows
import org.ibismoor.core.api.UpstreamGroupId

@Serializable
sealed interface Route {
    val id: RouteId
    val group: UpstreamGroupId

    /** Longest time from the arrival of a request to the end of its answer, in milliseconds. */
    val deadlineMillis: Long
}

/**
 * Route to model engines. [defaultAnswerTokens] bounds an answer when the caller states no bound, and
 * [maximumAnswerTokens] is the highest bound that a caller may state.
 */
@Serializable
@SerialName("model")
data class ModelRoute(
    override val id: RouteId,
    override val group: UpstreamGroupId,
    override val deadlineMillis: Long,
    val model: String,
    val defaultAnswerTokens: Int,
    val maximumAnswerTokens: Int,
) : Route

/** Route to a plain service. The first rule that matches a call applies; a call that matches no rule is refused. */
@Serializable
@SerialName("service")
data class ServiceRoute(
    override val id: RouteId,
    override val group: UpstreamGroupId,
    override val deadlineMillis: Long,
    val rules: Rows<ServiceRule>,
) : Route
