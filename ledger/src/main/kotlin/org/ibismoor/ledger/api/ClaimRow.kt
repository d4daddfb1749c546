/**
 * A claim of a request key. [status] is set once the request has run. A row with [isReleased] is not a claim; it
 * prevents a late copy of the claim command from claiming the key again. [number] is the position in the retention
 * order.
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
