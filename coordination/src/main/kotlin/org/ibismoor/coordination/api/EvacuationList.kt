/**
 * The evacuated failure domains as of one log entry. Every replica answers reports with the list that it has applied,
 * and a router keeps the one with the highest index, so an answer of a replica that lags changes nothing.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.FailureDomainId

@Serializable
data class EvacuationList(
    /** Log index of the last change; 0 before the first one. */
    val index: Long = 0,
    val domains: List<FailureDomainId> = emptyList(),
)
