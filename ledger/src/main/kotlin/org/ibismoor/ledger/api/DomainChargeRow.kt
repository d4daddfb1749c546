/**
 * A charge at its domain ledger, with the attempt, the request body, the status of the answer and the number of reruns
 * at no further charge. The status is -1 if the session of the attempt expired before the request was settled.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest

@Serializable
data class DomainChargeRow(
    val charge: ChargeRow,
    val attempt: AttemptId,
    val body: BodyDigest,
    val status: Int,
    val reruns: Int = 0,
) {
    val isExpired: Boolean get() = status == UNKNOWN_STATUS

    companion object {
        /** Status of a claimed request whose session expired before it was settled. */
        const val UNKNOWN_STATUS: Int = -1
    }
}
