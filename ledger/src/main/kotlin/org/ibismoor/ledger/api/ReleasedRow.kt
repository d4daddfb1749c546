/**
 * An attempt whose reservation was closed without a charge. [number] is its position in the retention order.
 * [isSettled] distinguishes a settled rerun from a release.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable

@Serializable
data class ReleasedRow(val number: Long, val isSettled: Boolean)
