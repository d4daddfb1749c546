/**
 * A request of a caller as the decisions see it. [idempotencyKey] is the caller's own key, if it sent one, and
 * [generatedKey] a fresh key to use otherwise. [deadlineMillis] is the caller's own limit from arrival, if it stated
 * one.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest

data class RoutedRequest(
    val apiKey: ApiKeyDigest,
    val target: RequestTarget,
    val body: BodyDigest,
    val idempotencyKey: String?,
    val generatedKey: String,
    val priority: Priority?,
    val deadlineMillis: Long?,
)
