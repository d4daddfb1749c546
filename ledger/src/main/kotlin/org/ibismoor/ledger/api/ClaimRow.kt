/**
 * A claim on a request key. [status] is the recorded status once the request ran.
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
)
