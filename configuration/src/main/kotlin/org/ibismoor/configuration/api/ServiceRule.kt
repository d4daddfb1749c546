/**
 * A rule for calls to a plain service: the calls that it matches, whether they are idempotent, and their price in
 * budget tokens. [pathPrefix] is relative to the route.
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
