/**
 * Rule for calls of a plain service: which calls it covers, whether they are idempotent, and their price in budget
 * tokens. The path is a prefix below the route.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable

@Serializable
data class ServiceRule(
    val method: String,
    val pathPrefix: String,
    val isIdempotent: Boolean,
    val price: Long,
)
