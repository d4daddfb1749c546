/**
 * The share of one budget that one control replica holds. All counters are cumulative budget tokens and only grow,
 * so that messages may be lost, repeated or reordered. What the replica may still spend is `issued - returned -
 * spent + voided`.
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
    val remaining: Long get() = issued - returned - spent + voided
}
