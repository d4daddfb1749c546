/**
 * Settings of a router's decisions. Times are in milliseconds.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.RouterId
import org.ibismoor.pacing.api.PaceSettings

data class ForwardingSettings(
    val router: RouterId,
    val entry: RouterEntry,
    /** Hosts of the control processes in the settings. */
    val controlHosts: List<String>,
    /** Retries that the fleet may send for each request. */
    val retryRatio: Double,
    /** Retries that the fleet may send within the window in addition to the ratio. */
    val retrySlack: Long,
    val retryWindowMillis: Long,
    val times: ForwardingTimes = ForwardingTimes(),
    val policies: LoadPolicies = LoadPolicies(),
    val pacing: PaceSettings = PaceSettings(),
)
