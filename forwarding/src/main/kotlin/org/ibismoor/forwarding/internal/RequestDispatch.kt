/**
 * What the queue needs of the system that sends requests.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow

internal interface RequestDispatch {
    /** Upstreams that may get [request] now, whether or not they have room. */
    fun candidates(tables: ForwardingTables, request: RequestRow, now: Timestamp): List<UpstreamRow>

    fun sendAttempt(
        tables: ForwardingTables,
        request: RequestRow,
        candidates: List<UpstreamRow>,
        now: Timestamp,
    ): ForwardingStep

    /** Refuses [request], which no upstream may get. */
    fun refuseUnserved(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep
}
