/**
 * A drain in progress.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.Timestamp

/**
 * [refuseFrom] is the time from which new requests are refused. Until then callers may still have this router's address
 * in a cache.
 */
data class DrainRow(val refuseFrom: Timestamp, val isFinished: Boolean = false)
