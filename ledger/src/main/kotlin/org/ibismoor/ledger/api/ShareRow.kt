/**
 * Share of one budget at one control replica. All counters are cumulative budget tokens and never fall, so messages may
 * be lost, repeated or reordered.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable

@Serializable
data class ShareRow(
    val issued: Long = 0,
    val returned: Long = 0,
    val spent: Long = 0,
    val voided: Long = 0,
) {
    /** Tokens that the replica may still spend. */
    val remaining: Long get() = issued - returned - spent + voided
}
