/**
 * A charge as its domain ledger retains it: who was billed, for which body, with which status, and how often the
 * request ran again at no further charge. A status of -1 means that the session of the attempt expired first.
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
