/**
 * Last number in each retention order of a domain ledger at [time].
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.Timestamp

data class RetentionMark(val time: Timestamp, val charge: Long, val claim: Long, val released: Long)
