/**
 * The place of a caller that looks up routers, and the host that it calls; null if the caller does not state it.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RegionId

data class CallerPlace(val domain: FailureDomainId, val region: RegionId? = null, val host: String? = null)
