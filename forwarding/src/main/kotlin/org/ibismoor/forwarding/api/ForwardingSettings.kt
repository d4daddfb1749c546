/**
 * Settings of a router's decisions. Times are in milliseconds.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RegionId
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
    val resources: RouterResources = RouterResources(entry.cores),
    /** Region of each failure domain; empty if the settings state none. */
    val regions: PersistentMap<FailureDomainId, RegionId> = persistentHashMapOf(),
    val pacing: PaceSettings = PaceSettings(),
)
