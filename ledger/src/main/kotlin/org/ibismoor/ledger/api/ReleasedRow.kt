/**
 * An attempt whose reservation ended without a charge, under its [number] in the retention order. [isSettled] tells a
 * rerun that was settled from a release.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable

@Serializable
data class ReleasedRow(val number: Long, val isSettled: Boolean)
