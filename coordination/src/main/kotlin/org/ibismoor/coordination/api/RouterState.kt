/**
 * State that a router reports of itself. Callers are sent to ready routers only.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable

@Serializable
enum class RouterState { STARTING, READY, DRAINING }
