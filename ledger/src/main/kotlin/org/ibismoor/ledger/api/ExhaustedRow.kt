/**
 * A budget that could not cover the waiting requests of a replica: at most [freeTokens] were unreserved. The row is
 * valid until [validUntil] while the sum of granted, spent and voided tokens is [changeCounter].
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.Timestamp

data class ExhaustedRow(val freeTokens: Long, val changeCounter: Long, val validUntil: Timestamp)
