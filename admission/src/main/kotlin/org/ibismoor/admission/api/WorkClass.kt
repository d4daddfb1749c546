/**
 * Requests of a route whose cost lies between the same two powers of two. Large ones take longer than the mean of their
 * route, so their work has to start earlier.
 */
package org.ibismoor.admission.api

import org.ibismoor.core.api.RouteId

data class WorkClass(val route: RouteId, val costBits: Int)

internal fun workClassOf(route: RouteId, cost: Long): WorkClass =
    WorkClass(route, Long.SIZE_BITS - cost.countLeadingZeroBits())
