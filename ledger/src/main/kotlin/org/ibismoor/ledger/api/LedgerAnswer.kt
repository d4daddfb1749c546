/**
 * Answer of a domain ledger to a router, sent only after the record that it depends on is synced.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason

@Serializable
sealed interface LedgerAnswer {
    val attempt: AttemptId
}

/** The amount is reserved. With [isRerun] the request is already charged and this attempt is free of charge. */
@Serializable
@SerialName("reserved")
data class Reserved(
    override val attempt: AttemptId,
    val amount: Long,
    val isRerun: Boolean = false,
) : LedgerAnswer

/** The charge is durable at the domain ledger. */
@Serializable
@SerialName("settled")
data class Settled(override val attempt: AttemptId, val amount: Long) : LedgerAnswer

/** The reservation is released. */
@Serializable
@SerialName("cancelled")
data class Cancelled(override val attempt: AttemptId) : LedgerAnswer

/**
 * The request is refused. With the reason `ALREADY_RAN`, [recordedStatus] is the status of the attempt that ran.
 */
@Serializable
@SerialName("refused")
data class Refused(
    override val attempt: AttemptId,
    val reason: RefusalReason,
    val outcome: Outcome,
    val recordedStatus: Int? = null,
) : LedgerAnswer
