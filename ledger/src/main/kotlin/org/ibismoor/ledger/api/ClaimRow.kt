/**
 * A claim on a request key. [status] is the recorded status once the request ran. A row with [isReleased] holds
 * no claim; it keeps a late copy of the released attempt's command from claiming the key again. [number] is the
 * number of the claim in its retention order.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.WallTime

@Serializable
data class ClaimRow(
    val attempt: AttemptId,
    val body: BodyDigest,
    val claimedAt: WallTime,
    val status: Int? = null,
    val isReleased: Boolean = false,
    val number: Long = 0,
)
