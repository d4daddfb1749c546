/**
 * Settings of a control process.
 */
package org.ibismoor.gateway.api

import org.ibismoor.coordination.api.CoordinationSettings
import java.nio.file.Path

private const val LIST_INTERVAL_MILLIS = 500L

data class CoordinatorSettings(
    /** Host under which other processes reach this VM. Control processes listen on the same [port] on every host. */
    val host: String,
    val port: Int,
    val seedHosts: List<String>,
    /** Null on a VM without a disk: the process is an observer, which refers callers to the leader. */
    val dataFolder: Path?,
    /** True only at the first start of the fleet, when all data folders are empty. */
    val isFirstStart: Boolean,
    /** Host and port of the platform's upstream list, which the leader reads at intervals of [listIntervalMillis]. */
    val listHost: String,
    val listPort: Int,
    val listIntervalMillis: Long = LIST_INTERVAL_MILLIS,
    val coordination: CoordinationSettings = CoordinationSettings(),
    /** Host to listen on. */
    val bindHost: String = host,
    /** Local host of outgoing connections; null lets the operating system choose. */
    val clientHost: String? = null,
) {
    val isObserver: Boolean get() = dataFolder == null
}
