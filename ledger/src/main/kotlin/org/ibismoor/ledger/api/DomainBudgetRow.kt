/**
 * Counters of one budget at a domain ledger, in budget tokens. [spent] and [returned] are cumulative; [reserved] is
 * the sum of the open reservations.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable

@Serializable
data class DomainBudgetRow(
    val spent: Long = 0,
    val returned: Long = 0,
    val reserved: Long = 0,
)
