/**
 * What an upstream should serve: a model in a version, optionally with an adapter, in a role. Orders bring the upstream
 * there.
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
