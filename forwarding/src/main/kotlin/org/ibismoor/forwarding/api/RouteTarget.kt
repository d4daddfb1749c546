/**
 * An upstream group of a route and its weight in the distribution of requests.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.UpstreamGroupId

data class RouteTarget(val group: UpstreamGroupId, val weight: Long)
