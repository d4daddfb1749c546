/**
 * A drain under way: new requests are refused from [refuseFrom], when callers no longer use this router's address.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.Timestamp

data class DrainRow(val refuseFrom: Timestamp, val isFinished: Boolean = false)
