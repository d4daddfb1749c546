/**
 * The desired state of an upstream: the model and version that it serves, optionally with an adapter and a role. The
 * fleet sends orders until the upstream has reached it.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable

@Serializable
data class Placement(
    val model: String,
    val version: String,
    val adapter: String? = null,
    val role: String? = null,
)
