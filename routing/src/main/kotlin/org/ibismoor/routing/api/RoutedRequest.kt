/**
 * A caller's request in the form that the routing decisions use.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest

/**
 * [idempotencyKey] is the key that the caller sent, if any; [generatedKey] is used otherwise. [deadlineMillis] is the
 * caller's own limit, counted from arrival, if the request states one.
 */
data class RoutedRequest(
    val apiKey: ApiKeyDigest,
    val target: RequestTarget,
    val body: BodyDigest,
    val idempotencyKey: String?,
    val generatedKey: String,
    val priority: Priority?,
    val deadlineMillis: Long?,
)
