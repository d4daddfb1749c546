/**
 * Settings of a control process.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.CoordinationSettings
import java.nio.file.Path

private const val LIST_MILLIS = 500L

data class CoordinatorSettings(
    /** Host of this VM. Control processes listen on the same [port] on every host. */
    val host: String,
    val port: Int,
    val seedHosts: List<String>,
    val dataFolder: Path,
    /** True at the first start of the whole fleet, when no data folder has content. */
    val isFirstStart: Boolean,
    /** Address of the platform's list of upstreams. */
    val listHost: String,
    val listPort: Int,
    val listIntervalMillis: Long = LIST_MILLIS,
    val coordination: CoordinationSettings = CoordinationSettings(),
)
